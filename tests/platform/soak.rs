//! A randomized soak: real daemons, faults from outside in series that overlap.
//!
//! While callers send streams and plain requests, processes are paused, killed, stopped
//! and started again, and the store, the runners and the servers misbehave; in a second
//! kind of play, connections are delayed, held back and reset too. What callers received
//! and what servers ran is checked against the promises. `SOAK_SEEDS=FROM..TO` plays other
//! seeds than those that stand here.

use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use chestnut_platform_stand_in::{
    Caller, CallerRequest, CallerResponse, RunnerFault, ServerFault, StoreFault,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::link::{Link, LinkFault};
use crate::world::{World, until};

/// Seeds that are played always.
///
/// In 13 a daemon is told to reload before it has taken over the handling of signals, and
/// ends by that. In 616 the row of a daemon that has just been frozen is removed while the
/// store forgets its history; it went on without a row, and removed those of the others.
const SEEDS: [u64; 4] = [1, 2, 13, 616];

/// Seeds that are played always with connections that fail.
const LINKED_SEEDS: [u64; 2] = [1, 2];

/// How long faults go on.
const FAULTS: Duration = Duration::from_secs(8);

/// Callers at the same time.
const CALLERS: usize = 6;

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A question and what came of it.
struct Asked {
    question: CallerRequest,
    answer: CallerResponse,
}

/// What ends a fault.
#[derive(Debug)]
enum Mend {
    Thaw(usize),
    Start(usize),
    Store,
    Runner(usize),
    Service(usize),
    Link(Spot),
}

/// A proxy, by what it stands before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Spot {
    Callers(usize),
    Store(usize),
    Runner(usize),
    Service(usize),
}

#[tokio::test]
async fn promises_hold_under_random_faults() {
    // Callers see refusals, failures and streams that end early. They never see another's
    // answer, a part of an answer as a whole one, or "not run" of what ran; nothing that
    // may run once runs twice, no runner is given more than it holds, and when all faults
    // are over every daemon serves again.
    for seed in seeds(&SEEDS) {
        eprintln!("seed {seed}");
        play(seed, World::start(&format!("soak{seed}"), 3).await).await;
    }
}

#[tokio::test]
async fn promises_hold_where_connections_fail() {
    // The same while connections between callers, daemons, servers and the store are slow,
    // reset, or silent in one direction or both. What was held back arrives later: requests
    // and orders that were given up long ago reach their servers after all, and what was
    // said of them must still be true.
    for seed in seeds(&LINKED_SEEDS) {
        eprintln!("seed {seed}");
        play(seed, World::start_linked(&format!("links{seed}"), 3).await).await;
    }
}

fn seeds(usual: &[u64]) -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return usual.to_vec() };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    (number(from)..number(to)).collect()
}

async fn play(seed: u64, mut world: World) {
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS as u64 {
        let rng = SmallRng::seed_from_u64(seed * 100 + number);
        let addresses = entries(&world);
        let (caller, asked, over) = (world.caller.clone(), asked.clone(), over.clone());
        callers.spawn(call(caller, addresses, rng, asked, over));
    }
    break_things(&mut world, SmallRng::seed_from_u64(seed)).await;
    over.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    world.until_ready().await;
    until("all is served again", async || {
        let mut served = true;
        for gate in 0..world.gates.len() {
            for model in ["red", "blue"] {
                served &= world
                    .ask(gate, &CallerRequest::stream("demand", model, 3))
                    .await
                    .complete;
            }
            served &=
                world.ask(gate, &CallerRequest::plain("record")).await.status == 200;
        }
        served
    })
    .await;
    check(&world, &asked.lock().expect("no holder of the lock panics"));
}

/// Where callers connect.
fn entries(world: &World) -> Vec<SocketAddr> {
    match world.links.callers.is_empty() {
        true => world.gates.iter().map(|gate| gate.callers).collect(),
        false => world.links.callers.iter().map(|link| link.addr).collect(),
    }
}

/// Sends one question after another to any daemon.
async fn call(
    caller: Caller,
    addresses: Vec<SocketAddr>,
    mut rng: SmallRng,
    asked: Arc<Mutex<Vec<Asked>>>,
    over: Arc<AtomicBool>,
) {
    while !over.load(Ordering::Relaxed) {
        let addr = *addresses.choose(&mut rng).expect("there are daemons");
        let mut question = question(&mut rng);
        question.budget = Duration::from_millis(rng.random_range(500..4000));
        let answer = caller.send(addr, &question).await;
        asked
            .lock()
            .expect("no holder of the lock panics")
            .push(Asked { question, answer });
        sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
}

fn question(rng: &mut SmallRng) -> CallerRequest {
    let models = ["red", "red/a1", "red/a2", "red/a5", "blue"];
    let model = models.choose(rng).expect("there are models");
    let events = rng.random_range(1..40);
    match rng.random_range(0..4) {
        0 => CallerRequest::plain("record"),
        1 => CallerRequest::plain("lookup"),
        2 => CallerRequest::stream("draft", model, events),
        _ => CallerRequest::stream("demand", model, events),
    }
}

/// Starts faults and ends them, in series that overlap.
async fn break_things(world: &mut World, mut rng: SmallRng) {
    let end = Instant::now() + FAULTS;
    let mut mends: Vec<(Instant, Mend)> = Vec::new();
    while Instant::now() < end {
        let lasts = Duration::from_millis(rng.random_range(100..2500));
        if let Some(mend) = break_one(world, &mut rng, &mends) {
            eprintln!("a fault, after {lasts:?}: {mend:?}");
            mends.push((Instant::now() + lasts, mend));
        }
        sleep(Duration::from_millis(rng.random_range(50..500))).await;
        let now = Instant::now();
        for (_, done) in mends.extract_if(.., |(at, _)| *at <= now) {
            mend(world, done).await;
        }
        supervise(world, &mends);
    }
    for (_, left) in mends {
        mend(world, left).await;
    }
    supervise(world, &[]);
}

/// Starts daemons again that ended by themselves, as the platform does.
fn supervise(world: &mut World, mends: &[(Instant, Mend)]) {
    for (number, gate) in world.gates.iter_mut().enumerate() {
        let stopped =
            |(_, mend): &(_, Mend)| matches!(mend, Mend::Start(at) if *at == number);
        if mends.iter().any(stopped) {
            continue;
        }
        if let Some(status) = gate.ended() {
            // A signal may come before the process handles any.
            eprintln!("daemon {number} ended: {status}");
            let by = status.signal();
            assert_eq!(by, Some(Signal::HUP.as_raw()), "daemon {number} ended: {status}");
            gate.restart();
        }
    }
}

/// Starts a fault; nothing where one of its kind goes on.
fn break_one(
    world: &mut World,
    rng: &mut SmallRng,
    mends: &[(Instant, Mend)],
) -> Option<Mend> {
    let gate = rng.random_range(0..world.gates.len());
    let whole =
        |mend: &Mend| !matches!(mend, Mend::Thaw(at) | Mend::Start(at) if *at == gate);
    let up = mends.iter().all(|(_, mend)| whole(mend));
    let runner = rng.random_range(0..world.runners.len());
    let service = rng.random_range(0..world.services.len());
    let links = !world.links.callers.is_empty();
    match rng.random_range(0..if links { 15 } else { 9 }) {
        0 if up => {
            world.gates[gate].signal(Signal::STOP);
            Some(Mend::Thaw(gate))
        }
        1 if up => {
            world.gates[gate].kill();
            Some(Mend::Start(gate))
        }
        2 if up => {
            world.gates[gate].signal(Signal::TERM);
            Some(Mend::Start(gate))
        }
        3 if up => {
            world.gates[gate].signal(Signal::HUP);
            None
        }
        4 => {
            use StoreFault::{ResponseLost, Slow, Unavailable, Unresponsive};
            let fault =
                [Unavailable, Unresponsive, Slow, ResponseLost].choose(rng).copied();
            world.store.set_fault(fault.unwrap_or_default());
            Some(Mend::Store)
        }
        5 => {
            world.store.discard_history();
            None
        }
        6 => {
            use RunnerFault::{DisconnectAfter, Rejecting, Unresponsive};
            let fault =
                [Rejecting, DisconnectAfter(2), Unresponsive].choose(rng).copied();
            world.runners[runner].set_fault(fault.unwrap_or_default());
            Some(Mend::Runner(runner))
        }
        7 => {
            use ServerFault::{Failing, Rejecting, Unresponsive, WrongId};
            let fault = [Rejecting, Failing, Unresponsive, WrongId].choose(rng).copied();
            world.services[service].set_fault(fault.unwrap_or_default());
            Some(Mend::Service(service))
        }
        // Also in place of a fault that goes on already.
        draw if draw == 8 || !links => {
            world.runners[runner].restart();
            None
        }
        9 => {
            let spot = spot(rng, gate, runner, service);
            eprintln!("connections reset: {spot:?}");
            link(world, spot).reset();
            None
        }
        _ => {
            let spot = spot(rng, gate, runner, service);
            let fault = link_fault(rng);
            eprintln!("{spot:?}: {fault:?}");
            link(world, spot).fail(fault);
            Some(Mend::Link(spot))
        }
    }
}

fn spot(rng: &mut SmallRng, gate: usize, runner: usize, service: usize) -> Spot {
    match rng.random_range(0..4) {
        0 => Spot::Callers(gate),
        1 => Spot::Store(gate),
        2 => Spot::Runner(runner),
        _ => Spot::Service(service),
    }
}

fn link(world: &World, spot: Spot) -> &Link {
    match spot {
        Spot::Callers(gate) => &world.links.callers[gate],
        Spot::Store(gate) => &world.links.stores[gate],
        Spot::Runner(runner) => &world.links.runners[runner],
        Spot::Service(service) => &world.links.services[service],
    }
}

fn link_fault(rng: &mut SmallRng) -> LinkFault {
    match rng.random_range(0..4) {
        0 => LinkFault::Delayed(Duration::from_millis(rng.random_range(5..400))),
        1 => LinkFault::Held { there: true, back: false },
        2 => LinkFault::Held { there: false, back: true },
        _ => LinkFault::Held { there: true, back: true },
    }
}

async fn mend(world: &mut World, mend: Mend) {
    eprintln!("{mend:?}");
    match mend {
        Mend::Thaw(gate) => world.gates[gate].signal(Signal::CONT),
        Mend::Start(gate) => {
            // One that was told to stop finishes what it has first.
            until("it has ended", async || world.gates[gate].ended().is_some()).await;
            world.gates[gate].restart();
        }
        Mend::Store => world.store.set_fault(StoreFault::None),
        Mend::Runner(runner) => world.runners[runner].set_fault(RunnerFault::None),
        Mend::Service(service) => world.services[service].set_fault(ServerFault::None),
        Mend::Link(spot) => link(world, spot).fail(LinkFault::None),
    }
}

fn check(world: &World, asked: &[Asked]) {
    assert!(asked.len() > CALLERS, "{} requests", asked.len());
    for Asked { question, answer } in asked {
        let runs = world.runs(answer);
        let about = format!("{question:?} {answer:?} ran {runs} times");
        if NOT_RUN.contains(&answer.status) && !answer.signed {
            assert_eq!(runs, 0, "{about}");
        }
        let once = ["record", "draft"].contains(&question.route.as_str());
        assert!(!once || runs <= 1, "{about}");
        let numbers: Vec<u64> = (1..=answer.events.len() as u64).collect();
        assert_eq!(answer.events, numbers, "{about}");
        if answer.status == 200 && answer.complete {
            assert!(answer.signed && runs >= 1, "{about}");
            match &question.model {
                Some(_) => {
                    assert_eq!(numbers.len(), question.event_count as usize, "{about}")
                }
                None => assert!(answer.body.contains(&answer.id), "{about}"),
            }
        }
    }
    for runner in &world.runners {
        assert_eq!(
            runner.over_capacity_orders(),
            0,
            "{} was given too much",
            runner.name
        );
        assert_eq!(runner.fence_conflicts(), 0, "{} had two holders", runner.name);
    }
}
