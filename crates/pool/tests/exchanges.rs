//! Attributes responses to requests on connections whose server responds twice.

use chestnut_edge::EchoedId;
use chestnut_pool::{Attribution, Exchanges};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

fn one(id: &str) -> EchoedId {
    EchoedId::One(id.to_owned())
}

/// Guards against a late response that is taken for the one to a later request.
#[test]
fn only_the_echoed_id_identifies_a_later_response() {
    use Attribution::{Echoed, Foreign, OnlyRequest, Unidentified};
    for (first, echoed, expected) in [
        (Some("a"), one("a"), Echoed),
        (Some("a"), one("b"), Foreign),
        (Some("a"), EchoedId::Ambiguous, Foreign),
        (Some("a"), EchoedId::Missing, OnlyRequest),
        (None, EchoedId::Missing, OnlyRequest),
        (None, one("b"), Foreign),
    ] {
        let mut exchanges = Exchanges::default();
        exchanges.begin(first);
        assert_eq!(exchanges.attribute(&echoed), expected, "{first:?} {echoed:?}");
        assert_eq!(exchanges.is_reusable(), expected == Echoed);
    }
    for (echoed, expected) in
        [(one("b"), Echoed), (one("a"), Foreign), (EchoedId::Missing, Unidentified)]
    {
        let mut exchanges = Exchanges::default();
        exchanges.begin(Some("a"));
        exchanges.attribute(&one("a"));
        exchanges.begin(Some("b"));
        assert_eq!(exchanges.attribute(&echoed), expected, "{echoed:?}");
    }
}

/// Guards against a copy of a rejection that is taken for the response to the next attempt, which
/// has the same id.
#[test]
fn a_connection_carries_each_id_once() {
    let mut exchanges = Exchanges::default();
    assert!(exchanges.may_carry(None));
    exchanges.begin(Some("a"));
    assert!(!exchanges.may_carry(Some("b")), "no response has arrived");
    exchanges.attribute(&one("a"));
    assert!(exchanges.may_carry(Some("b")));
    assert!(!exchanges.may_carry(Some("a")));
    assert!(!exchanges.may_carry(None));
    exchanges.begin(Some("a"));
    assert_eq!(exchanges.attribute(&one("a")), Attribution::Unidentified);
}

/// Guards against a connection whose memory of ids grows without a bound.
#[test]
fn a_connection_is_closed_after_many_requests() {
    let mut exchanges = Exchanges::default();
    let reused = (0..100_000).find(|number| {
        let id = number.to_string();
        let may_carry = exchanges.may_carry(Some(&id));
        exchanges.begin(Some(&id));
        exchanges.attribute(&one(&id));
        !may_carry
    });
    assert!(reused.is_some_and(|count| (100..10_000).contains(&count)), "{reused:?}");
}

/// A response on its way.
#[derive(Clone)]
struct Response {
    /// The request that it belongs to.
    request: usize,
    echoed: EchoedId,
}

/// A connection to a server that may send responses twice.
#[derive(Default)]
struct Connection {
    exchanges: Exchanges,
    /// What arrives, in order.
    arriving: Vec<Response>,
    /// The responses so far, of which the server may send copies.
    sent: Vec<Response>,
}

impl Connection {
    /// The server responds to a request, perhaps after a copy of an earlier response.
    fn respond(&mut self, own: Response, rng: &mut impl Rng) {
        if !self.sent.is_empty() && rng.random_bool(0.05) {
            let mut copy = self.sent[rng.random_range(0..self.sent.len())].clone();
            if rng.random_bool(0.3) {
                copy.echoed = EchoedId::Missing;
            }
            self.arriving.push(copy);
        }
        self.arriving.push(own.clone());
        self.sent.push(own);
    }
}

/// What became of the requests of one run.
#[derive(Debug, Default)]
struct Counts {
    served: usize,
    lost: usize,
    mistaken: usize,
    connections: usize,
}

/// Sends requests on pooled connections; ids are used again by retries and by callers, and some
/// calls have none.
fn simulate(seed: u64, echoes: bool) -> Counts {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pool: Vec<Connection> = Vec::new();
    let mut counts = Counts::default();
    for request in 0..2000 {
        let id = format!("{}", rng.random_range(0..50));
        let id = rng.random_bool(0.95).then_some(id.as_str());
        let usable = pool.iter().rposition(|at| at.exchanges.may_carry(id));
        let mut connection = match usable {
            Some(index) => pool.remove(index),
            None => {
                counts.connections += 1;
                Connection::default()
            }
        };
        connection.exchanges.begin(id);
        let echoed = id.filter(|_| echoes).map_or(EchoedId::Missing, one);
        connection.respond(Response { request, echoed }, &mut rng);
        let response = connection.arriving.remove(0);
        if !connection.exchanges.attribute(&response.echoed).is_own() {
            counts.lost += 1;
            continue;
        }
        counts.served += 1;
        counts.mistaken += usize::from(response.request != request);
        if connection.exchanges.is_reusable() && rng.random_bool(0.95) {
            pool.push(connection);
        }
    }
    counts
}

/// Guards against any response that reaches another request, whatever ids are used again or missing.
#[test]
fn no_response_is_mistaken_while_servers_respond_twice() {
    for seed in 0..200 {
        let counts = simulate(seed, true);
        assert_eq!(counts.mistaken, 0, "seed {seed}: {counts:?}");
        assert!(counts.lost > 0 && counts.served > 1500, "seed {seed}: {counts:?}");
    }
}

/// Guards against servers that echo no id and are no longer usable.
#[test]
fn a_server_that_echoes_no_id_is_served_on_new_connections() {
    let counts = simulate(0, false);
    assert_eq!((counts.served, counts.mistaken, counts.connections), (2000, 0, 2000));
}
