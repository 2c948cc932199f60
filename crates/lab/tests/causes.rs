//! Causes of late and refused requests, from the logs of daemons.

use chestnut_lab::causes::{Cause, count_causes};

#[test]
fn causes_are_derived_from_the_log_lines_of_a_request() {
    let logs = r#"
 1.0 vm-1 {"msg":"turn","id":"a","turn":"Again"}
 1.1 vm-1 {"msg":"turn","id":"a","turn":"Send(7)"}
{"msg":"request ended","id":"a","route":"r","end":"answered","ms":900,"objective_ms":500,"begun_ms":700,"first_ms":90,"pause_ms":20,"gap_ms":250}
{"msg":"request ended","id":"b","route":"r","end":"answered","ms":900,"objective_ms":500,"begun_ms":700,"first_ms":650,"pause_ms":20,"gap_ms":250}
{"msg":"request ended","id":"c","route":"r","end":"answered","ms":900,"objective_ms":500,"begun_ms":70,"first_ms":60,"pause_ms":260,"gap_ms":250}
{"msg":"request ended","id":"d","route":"r","end":"answered","ms":900,"objective_ms":500,"begun_ms":70,"first_ms":60,"pause_ms":20,"gap_ms":250}
{"msg":"turn","id":"e","turn":"Denied"}
{"msg":"request ended","id":"e","route":"r","end":"Unavailable","ms":900,"objective_ms":500}
{"msg":"request ended","id":"f","route":"r","end":"Overloaded","ms":900,"objective_ms":500}
{"msg":"request ended","id":"g","route":"plain","end":"answered","ms":80,"objective_ms":100,"begun_ms":null}
no JSON
{"msg":"request ended","id":"h"
"#;
    let counts = count_causes(logs);
    let found: Vec<Cause> = counts["r"].keys().copied().collect();
    use Cause::{
        AdmissionWait, EventGap, InTime, NoAdapterSlot, RunnersFull, SlowFirstEvent,
    };
    assert_eq!(
        found,
        [AdmissionWait, SlowFirstEvent, EventGap, InTime, NoAdapterSlot, RunnersFull]
    );
    assert_eq!(counts["plain"][&InTime], 1);
}

#[test]
fn refusals_of_accounts_are_told_apart() {
    let logs = r#"
{"msg":"request ended","id":"a","route":"r","end":"AccountLimit","ms":3,"objective_ms":500}
{"msg":"request refused","id":"b","code":"Unauthorised"}
{"msg":"request refused","id":"c","code":"Leaving"}
"#;
    let counts = count_causes(logs);
    assert_eq!(counts["r"][&Cause::AccountLimit], 1);
    assert_eq!(counts["-"][&Cause::Unauthorised], 1);
    assert_eq!(counts["-"][&Cause::DaemonUnavailable], 1);
}
