//! The components of the stand-ins that need no network, and the plain service.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use chestnut_fake::engine::batch::{Batch, GenerationRequest};
use chestnut_fake::engine::memory::Memory;
use chestnut_fake::vms::VmHistory;
use chestnut_fake::{ServiceConfig, ServiceCounts, service};
use chestnut_plat::{VmRole, VmRow, VmState};
use proptest::prelude::*;
use serde_json::{Value, json};

fn request(priority: u8, prompt_tokens: u32) -> GenerationRequest {
    let (model, prompt) = ("m".to_owned(), "p".to_owned());
    GenerationRequest {
        model,
        prompt,
        prompt_tokens,
        start_token: 0,
        end_token: 1,
        priority,
    }
}

#[test]
fn batch_starts_requests_by_priority_and_arrival() {
    let mut batch = Batch::new(1, 1000);
    for (id, priority) in [("slow", 2), ("normal", 1), ("urgent", 0), ("late", 0)] {
        batch.submit(id, request(priority, 9)).unwrap();
    }
    let mut priorities = Vec::new();
    while batch.waiting() > 0 {
        batch.admit(|request| priorities.push(request.priority));
        assert_eq!(batch.step(), 1);
    }
    assert_eq!(priorities, [0, 0, 1, 2]);
}

proptest! {
    #[test]
    fn batch_never_exceeds_its_capacity(
        requests in prop::collection::vec((0u8..3, 1u32..60), 1..40),
        cancellations in prop::collection::vec(0usize..40, 0..20),
    ) {
        let mut batch = Batch::new(4, 100);
        for (index, (priority, tokens)) in requests.iter().enumerate() {
            batch.submit(&index.to_string(), request(*priority, *tokens)).unwrap();
        }
        for round in 0..requests.len() {
            batch.admit(|_| {});
            prop_assert!(batch.running() <= 4 && batch.reserved_kv_tokens() <= 100);
            if let Some(index) = cancellations.get(round) {
                batch.cancel(&index.to_string());
            }
            batch.step();
        }
        prop_assert_eq!((batch.waiting(), batch.reserved_kv_tokens()), (0, 0));
    }

    #[test]
    fn memory_in_use_is_the_sum_of_allocations(
        orders in prop::collection::vec((0u8..4, 0u8..6, 1u64..60), 1..60),
    ) {
        let mut memory = Memory::new(100);
        for (op, name, bytes) in orders {
            let model = format!("m{name}@1");
            match op {
                // A rejected load is one of the cases under test.
                0 => { memory.reserve_model(&model, bytes).ok(); }
                1 => { memory.reserve_adapter(&format!("a{name}"), &model, bytes).ok(); }
                2 => { memory.mark_ready(&model); }
                _ => { memory.start_unload(&model); memory.free_unloaded(|_| false); }
            }
            let models = memory.models.values().map(|allocation| allocation.bytes);
            let adapters = memory.adapters.values().map(|(_, allocation)| allocation.bytes);
            prop_assert_eq!(models.chain(adapters).sum::<u64>(), memory.used);
            prop_assert!(memory.used <= memory.capacity);
            prop_assert!(memory.peak >= memory.used);
        }
    }
}

#[test]
fn vm_list_is_read_with_lag() {
    let row = |state| VmRow {
        vm: "vm".try_into().unwrap(),
        domain: "d".try_into().unwrap(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        state,
        role: VmRole::Entry,
    };
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut vms = VmHistory::default();
    vms.put(start, row(VmState::Live));
    vms.put(start + 10 * second, row(VmState::Draining));
    let state_at = |elapsed, lag| vms.read(start + elapsed, lag)[0].state;
    assert_eq!(state_at(11 * second, 2 * second), VmState::Live);
    assert_eq!(state_at(12 * second, 2 * second), VmState::Draining);
}

/// The caller's connection is reset after the call ran, and the run is still counted. An
/// unknown fault name is rejected.
#[tokio::test]
async fn service_counts_runs_whose_response_is_lost() {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let config = ServiceConfig { name: "desk".into(), service_time: Duration::ZERO };
    let service = service::start(any_port, config).await.unwrap();
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let call = || {
        let request = http.post(format!("{}/seats?row=1", service.url())).body("two");
        request.header("x-request-id", "a-1").header("idempotency-key", "k")
    };
    let response: Value = call().send().await.unwrap().json().await.unwrap();
    let expected = json!({
        "service": "desk", "method": "POST", "path": "/seats?row=1", "echo": "two",
        "run": 1,
    });
    assert_eq!(response, expected);
    let faults_url = format!("{}/faults", service.url());
    let fault = json!({"lose_answers": 1});
    http.post(&faults_url).json(&fault).send().await.unwrap();
    assert!(call().send().await.is_err());
    let unknown_fault =
        http.post(&faults_url).json(&json!({"donw": true})).send().await.unwrap();
    assert!(unknown_fault.status().is_client_error());
    let counts = http.get(format!("{}/counts", service.url())).send().await.unwrap();
    let counts: ServiceCounts = counts.json().await.unwrap();
    assert_eq!((counts.runs["k"], counts.active), (2, 0));
}
