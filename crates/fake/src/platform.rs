//! The platform's services on one port.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::extract::{ConnectInfo, Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use bytes::Bytes;
use chestnut_base::{Clock, SystemClock};
use chestnut_plat::table::{ChangesQuery, RowKey, ScanQuery};
use chestnut_plat::{Txn, TxnResponse, VmRow};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::faults::{self, Faults, PlatformFaults, accept_call, loses_response};
use crate::listener::{Connection, CrashSwitch, ServerHandle};
use crate::objects::ObjectMap;
use crate::table::{Tables, row_value};
use crate::vms::VmHistory;
use crate::weights::{WeightStore, WeightStoreConfig};

/// The maximum size of an object or transaction.
const MAX_BODY_BYTES: usize = 64 << 20;

/// What the platform did so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Committed transactions.
    pub commits: u64,
    /// Transactions rejected because of a precondition.
    pub conflicts: u64,
    /// Rows written or deleted.
    pub writes: u64,
    /// Reads of tables.
    pub reads: u64,
    /// Objects written or deleted.
    pub object_writes: u64,
    /// Reads and listings of objects.
    pub object_reads: u64,
    /// Reads of the list of VMs.
    pub vm_reads: u64,
    /// Loads requested from the weight store.
    pub loads: u64,
    /// Calls rejected because a service was down.
    pub refused: u64,
}

struct Platform {
    clock: SystemClock,
    faults: Faults<PlatformFaults>,
    tables: Mutex<Tables>,
    objects: Mutex<ObjectMap>,
    vms: Mutex<VmHistory>,
    weights: WeightStore,
    counts: Mutex<PlatformCounts>,
}

type SharedPlatform = State<Arc<Platform>>;

/// Starts the platform's services on an address; with port 0 the system chooses the port.
pub async fn start(
    listen: SocketAddr,
    weight_store: WeightStoreConfig,
) -> io::Result<ServerHandle> {
    let faults = Faults::default();
    let platform = Arc::new(Platform {
        clock: SystemClock,
        faults: faults.clone(),
        tables: Mutex::default(),
        objects: Mutex::default(),
        vms: Mutex::default(),
        weights: WeightStore::new(weight_store),
        counts: Mutex::default(),
    });
    let router = Router::new()
        .route("/v1/table/commit", post(commit))
        .route("/v1/table/scan", post(scan))
        .route("/v1/table/changes", post(changes))
        .route("/v1/table/get", post(get_row))
        .route("/v1/objects", get(list_objects))
        .route(
            "/v1/objects/{*key}",
            get(get_object).put(put_object).delete(delete_object),
        )
        .route("/v1/vms", get(list_vms).put(set_vms))
        .route("/v1/vms/{vm}", put(put_vm).delete(delete_vm))
        .route("/v1/weights/{name}", get(load_weights))
        .route("/counts", get(get_counts))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(platform)
        .merge(faults::routes(faults));
    ServerHandle::serve(listen, CrashSwitch::default(), router).await
}

impl Platform {
    fn now_ms(&self) -> u64 {
        let since_epoch = self.clock.wall_time().duration_since(std::time::UNIX_EPOCH);
        since_epoch.unwrap_or_default().as_millis() as u64
    }

    fn update_counts(&self, update: impl FnOnce(&mut PlatformCounts)) {
        update(&mut self.counts.lock().expect("the counts' lock is not poisoned"));
    }

    fn reject(&self) -> Response {
        self.update_counts(|counts| counts.refused += 1);
        (StatusCode::SERVICE_UNAVAILABLE, "down").into_response()
    }
}

async fn commit(
    State(platform): SharedPlatform,
    ConnectInfo(connection): ConnectInfo<Connection>,
    Json(txn): Json<Txn>,
) -> Response {
    if !accept_call(&platform.faults, |faults| &mut faults.table).await {
        return platform.reject();
    }
    let writes = txn.writes.len() as u64;
    let now = platform.now_ms();
    let response = platform
        .tables
        .lock()
        .expect("the tables' lock is not poisoned")
        .commit(txn, now);
    match response {
        TxnResponse::Committed { .. } => platform.update_counts(|counts| {
            counts.commits += 1;
            counts.writes += writes;
        }),
        TxnResponse::Conflict { .. } => {
            platform.update_counts(|counts| counts.conflicts += 1)
        }
    }
    if loses_response(&platform.faults, |faults| &mut faults.table) {
        return connection.reset_and_never_respond().await;
    }
    Json(response).into_response()
}

async fn scan(State(platform): SharedPlatform, Json(query): Json<ScanQuery>) -> Response {
    if !accept_call(&platform.faults, |faults| &mut faults.table).await {
        return platform.reject();
    }
    platform.update_counts(|counts| counts.reads += 1);
    let now = platform.now_ms();
    let delta = platform
        .tables
        .lock()
        .expect("the tables' lock is not poisoned")
        .scan(&query, now);
    Json(delta).into_response()
}

async fn changes(
    State(platform): SharedPlatform,
    Json(query): Json<ChangesQuery>,
) -> Response {
    if !accept_call(&platform.faults, |faults| &mut faults.table).await {
        return platform.reject();
    }
    platform.update_counts(|counts| counts.reads += 1);
    let now = platform.now_ms();
    let response = platform
        .tables
        .lock()
        .expect("the tables' lock is not poisoned")
        .changes(&query, now);
    Json(response).into_response()
}

async fn get_row(
    State(platform): SharedPlatform,
    Json(row_key): Json<RowKey>,
) -> Response {
    if !accept_call(&platform.faults, |faults| &mut faults.table).await {
        return platform.reject();
    }
    platform.update_counts(|counts| counts.reads += 1);
    let now = platform.now_ms();
    let tables = platform.tables.lock().expect("the tables' lock is not poisoned");
    let row = row_value(tables.get(&row_key.table, &row_key.key));
    Json(json!({"row": row, "now": now})).into_response()
}

async fn put_object(
    State(platform): SharedPlatform,
    ConnectInfo(connection): ConnectInfo<Connection>,
    Path(key): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if !accept_call(&platform.faults, |faults| &mut faults.objects).await {
        return platform.reject();
    }
    platform.update_counts(|counts| counts.object_writes += 1);
    let create_only = headers.get("if-none-match").is_some_and(|value| value == "*");
    let stored = platform.objects.lock().expect("the objects' lock is not poisoned").put(
        key,
        body,
        create_only,
    );
    if loses_response(&platform.faults, |faults| &mut faults.objects) {
        return connection.reset_and_never_respond().await;
    }
    let status =
        if stored { StatusCode::NO_CONTENT } else { StatusCode::PRECONDITION_FAILED };
    status.into_response()
}

async fn get_object(
    State(platform): SharedPlatform,
    Path(key): Path<String>,
) -> Response {
    if !accept_call(&platform.faults, |faults| &mut faults.objects).await {
        return platform.reject();
    }
    platform.update_counts(|counts| counts.object_reads += 1);
    match platform.objects.lock().expect("the objects' lock is not poisoned").get(&key) {
        Some(value) => value.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn delete_object(
    State(platform): SharedPlatform,
    ConnectInfo(connection): ConnectInfo<Connection>,
    Path(key): Path<String>,
) -> Response {
    if !accept_call(&platform.faults, |faults| &mut faults.objects).await {
        return platform.reject();
    }
    platform.update_counts(|counts| counts.object_writes += 1);
    platform.objects.lock().expect("the objects' lock is not poisoned").delete(&key);
    if loses_response(&platform.faults, |faults| &mut faults.objects) {
        return connection.reset_and_never_respond().await;
    }
    StatusCode::NO_CONTENT.into_response()
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

async fn list_objects(
    State(platform): SharedPlatform,
    Query(query): Query<ListQuery>,
) -> Response {
    if !accept_call(&platform.faults, |faults| &mut faults.objects).await {
        return platform.reject();
    }
    platform.update_counts(|counts| counts.object_reads += 1);
    let objects = platform.objects.lock().expect("the objects' lock is not poisoned");
    Json(objects.list(&query.prefix)).into_response()
}

async fn list_vms(State(platform): SharedPlatform) -> Response {
    if !accept_call(&platform.faults, |faults| &mut faults.vms).await {
        return platform.reject();
    }
    platform.update_counts(|counts| counts.vm_reads += 1);
    let lag = Duration::from_millis(platform.faults.lock().vms.lag_ms);
    let vms = platform.vms.lock().expect("the VM list's lock is not poisoned");
    Json(vms.read(Instant::now(), lag)).into_response()
}

async fn set_vms(
    State(platform): SharedPlatform,
    Json(list): Json<Vec<VmRow>>,
) -> StatusCode {
    let mut vms = platform.vms.lock().expect("the VM list's lock is not poisoned");
    vms.set(Instant::now(), list);
    StatusCode::NO_CONTENT
}

async fn put_vm(
    State(platform): SharedPlatform,
    Path(vm): Path<String>,
    Json(row): Json<VmRow>,
) -> StatusCode {
    if row.vm.as_str() != vm {
        return StatusCode::BAD_REQUEST;
    }
    platform
        .vms
        .lock()
        .expect("the VM list's lock is not poisoned")
        .put(Instant::now(), row);
    StatusCode::NO_CONTENT
}

async fn delete_vm(
    State(platform): SharedPlatform,
    Path(vm): Path<String>,
) -> StatusCode {
    platform
        .vms
        .lock()
        .expect("the VM list's lock is not poisoned")
        .delete(Instant::now(), &vm);
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct LoadQuery {
    bytes: u64,
}

async fn load_weights(
    State(platform): SharedPlatform,
    Path(name): Path<String>,
    Query(query): Query<LoadQuery>,
) -> Response {
    if !accept_call(&platform.faults, |faults| &mut faults.weights).await {
        return platform.reject();
    }
    platform.update_counts(|counts| counts.loads += 1);
    let duration = platform.weights.load(query.bytes).await;
    let took_ms = duration.as_millis() as u64;
    Json(json!({"name": name, "bytes": query.bytes, "took_ms": took_ms})).into_response()
}

async fn get_counts(State(platform): SharedPlatform) -> Json<PlatformCounts> {
    Json(*platform.counts.lock().expect("the counts' lock is not poisoned"))
}
