//! The platform's services behind one port.

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

use crate::faults::{self, Faults, PlatformFaults, admit, loses_ack};
use crate::objects::ObjectMap;
use crate::port::{Lives, Peer, ServerHandle};
use crate::table::{Tables, row_value};
use crate::vms::VmHistory;
use crate::weights::{WeightStore, WeightStoreConfig};

/// The largest object or transaction, in bytes.
const BODY: usize = 64 << 20;

/// What the platform was asked for so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Transactions that took effect.
    pub commits: u64,
    /// Transactions whose checks failed.
    pub conflicts: u64,
    /// Rows that were written or removed.
    pub writes: u64,
    /// Reads of the table.
    pub reads: u64,
    /// Objects that were written or removed.
    pub object_writes: u64,
    /// Reads of objects.
    pub object_reads: u64,
    /// Reads of the list of VMs.
    pub vm_reads: u64,
    /// Loads that were asked of the weight store.
    pub loads: u64,
    /// Calls that were refused because a part was down.
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

type Shared = State<Arc<Platform>>;

/// Starts the platform's services.
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
        .route("/v1/table/get", post(lookup))
        .route("/v1/objects", get(list_objects))
        .route(
            "/v1/objects/{*key}",
            get(get_object).put(put_object).delete(delete_object),
        )
        .route("/v1/vms", get(read_vms).put(set_vms))
        .route("/v1/vms/{vm}", put(put_vm).delete(delete_vm))
        .route("/v1/weights/{name}", get(load))
        .route("/counts", get(counts))
        .layer(axum::extract::DefaultBodyLimit::max(BODY))
        .with_state(platform)
        .merge(faults::routes(faults));
    ServerHandle::serve(listen, Lives::default(), router).await
}

impl Platform {
    fn millis(&self) -> u64 {
        let since = self.clock.wall_time().duration_since(std::time::UNIX_EPOCH);
        since.unwrap_or_default().as_millis() as u64
    }

    fn count(&self, change: impl FnOnce(&mut PlatformCounts)) {
        change(&mut self.counts.lock().expect("no holder of the counts panics"));
    }

    fn refuse(&self) -> Response {
        self.count(|c| c.refused += 1);
        (StatusCode::SERVICE_UNAVAILABLE, "down").into_response()
    }
}

async fn commit(
    State(platform): Shared,
    ConnectInfo(peer): ConnectInfo<Peer>,
    Json(txn): Json<Txn>,
) -> Response {
    if !admit(&platform.faults, |f| &mut f.table).await {
        return platform.refuse();
    }
    let writes = txn.writes.len() as u64;
    let now = platform.millis();
    let answer = platform.tables.lock().expect("no commit panics").commit(txn, now);
    match answer {
        TxnResponse::Committed { .. } => platform.count(|c| {
            c.commits += 1;
            c.writes += writes;
        }),
        TxnResponse::Conflict { .. } => platform.count(|c| c.conflicts += 1),
    }
    if loses_ack(&platform.faults, |f| &mut f.table) {
        return peer.hang_up().await;
    }
    Json(answer).into_response()
}

async fn scan(State(platform): Shared, Json(scan): Json<ScanQuery>) -> Response {
    if !admit(&platform.faults, |f| &mut f.table).await {
        return platform.refuse();
    }
    platform.count(|c| c.reads += 1);
    let now = platform.millis();
    let delta = platform.tables.lock().expect("no commit panics").scan(&scan, now);
    Json(delta).into_response()
}

async fn changes(State(platform): Shared, Json(ask): Json<ChangesQuery>) -> Response {
    if !admit(&platform.faults, |f| &mut f.table).await {
        return platform.refuse();
    }
    platform.count(|c| c.reads += 1);
    let now = platform.millis();
    let changed = platform.tables.lock().expect("no commit panics").changes(&ask, now);
    Json(changed).into_response()
}

async fn lookup(State(platform): Shared, Json(lookup): Json<RowKey>) -> Response {
    if !admit(&platform.faults, |f| &mut f.table).await {
        return platform.refuse();
    }
    platform.count(|c| c.reads += 1);
    let now = platform.millis();
    let tables = platform.tables.lock().expect("no commit panics");
    let row = row_value(tables.get(&lookup.table, &lookup.key));
    Json(json!({"row": row, "now": now})).into_response()
}

async fn put_object(
    State(platform): Shared,
    ConnectInfo(peer): ConnectInfo<Peer>,
    Path(key): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if !admit(&platform.faults, |f| &mut f.objects).await {
        return platform.refuse();
    }
    platform.count(|c| c.object_writes += 1);
    let fresh = headers.get("if-none-match").is_some_and(|value| value == "*");
    let stored = platform.objects.lock().expect("no write panics").put(key, body, fresh);
    if loses_ack(&platform.faults, |f| &mut f.objects) {
        return peer.hang_up().await;
    }
    let status =
        if stored { StatusCode::NO_CONTENT } else { StatusCode::PRECONDITION_FAILED };
    status.into_response()
}

async fn get_object(State(platform): Shared, Path(key): Path<String>) -> Response {
    if !admit(&platform.faults, |f| &mut f.objects).await {
        return platform.refuse();
    }
    platform.count(|c| c.object_reads += 1);
    match platform.objects.lock().expect("no write panics").get(&key) {
        Some(value) => value.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn delete_object(
    State(platform): Shared,
    ConnectInfo(peer): ConnectInfo<Peer>,
    Path(key): Path<String>,
) -> Response {
    if !admit(&platform.faults, |f| &mut f.objects).await {
        return platform.refuse();
    }
    platform.count(|c| c.object_writes += 1);
    platform.objects.lock().expect("no write panics").delete(&key);
    if loses_ack(&platform.faults, |f| &mut f.objects) {
        return peer.hang_up().await;
    }
    StatusCode::NO_CONTENT.into_response()
}

#[derive(Deserialize)]
struct Prefix {
    #[serde(default)]
    prefix: String,
}

async fn list_objects(State(platform): Shared, Query(query): Query<Prefix>) -> Response {
    if !admit(&platform.faults, |f| &mut f.objects).await {
        return platform.refuse();
    }
    platform.count(|c| c.object_reads += 1);
    let objects = platform.objects.lock().expect("no write panics");
    Json(objects.list(&query.prefix)).into_response()
}

async fn read_vms(State(platform): Shared) -> Response {
    if !admit(&platform.faults, |f| &mut f.vms).await {
        return platform.refuse();
    }
    platform.count(|c| c.vm_reads += 1);
    let lag = Duration::from_millis(platform.faults.lock().vms.lag_ms);
    let vms = platform.vms.lock().expect("no change of VMs panics");
    Json(vms.read(Instant::now(), lag)).into_response()
}

async fn set_vms(State(platform): Shared, Json(list): Json<Vec<VmRow>>) -> StatusCode {
    let mut vms = platform.vms.lock().expect("no change of VMs panics");
    vms.set(Instant::now(), list);
    StatusCode::NO_CONTENT
}

async fn put_vm(
    State(platform): Shared,
    Path(vm): Path<String>,
    Json(row): Json<VmRow>,
) -> StatusCode {
    if row.vm.as_str() != vm {
        return StatusCode::BAD_REQUEST;
    }
    platform.vms.lock().expect("no change of VMs panics").put(Instant::now(), row);
    StatusCode::NO_CONTENT
}

async fn delete_vm(State(platform): Shared, Path(vm): Path<String>) -> StatusCode {
    platform.vms.lock().expect("no change of VMs panics").delete(Instant::now(), &vm);
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct Size {
    bytes: u64,
}

async fn load(
    State(platform): Shared,
    Path(name): Path<String>,
    Query(size): Query<Size>,
) -> Response {
    if !admit(&platform.faults, |f| &mut f.weights).await {
        return platform.refuse();
    }
    platform.count(|c| c.loads += 1);
    let took = platform.weights.load(size.bytes).await;
    let took = took.as_millis() as u64;
    Json(json!({"name": name, "bytes": size.bytes, "took_ms": took})).into_response()
}

async fn counts(State(platform): Shared) -> Json<PlatformCounts> {
    Json(*platform.counts.lock().expect("no holder of the counts panics"))
}
