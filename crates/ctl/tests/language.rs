//! Tests of the command language and of its error messages.

use chestnut_ctl::language::{Command, parse};
use chestnut_ctl::query::{Query, Row};
use insta::assert_snapshot;
use proptest::prelude::*;
use serde_json::{Value, json};

fn rendered_error(text: &str) -> String {
    parse(text).unwrap_err().render(text).to_string()
}

fn query(text: &str) -> Query {
    match parse(text).unwrap_or_else(|error| panic!("{}", error.render(text))) {
        Command::Show(query) => query,
        other => panic!("{other:?}"),
    }
}

fn models() -> Vec<Row> {
    let model = |name: &str, team: &str, bytes: u64, cold_ms: u64, replicas: u64| {
        let row = json!({
            "name": name, "team": team, "pool": "p", "version": "v1", "bytes": bytes,
            "cold_ms": cold_ms, "replicas": replicas,
        });
        match row {
            Value::Object(row) => row,
            _ => unreachable!("an object was written"),
        }
    };
    vec![
        model("drafter", "letters", 30_000_000_000, 45_000, 2),
        model("proofreader", "letters", 14_000_000_000, 30_000, 1),
        model("narrator", "seats", 16_000_000_000, 20_000, 1),
    ]
}

fn names(text: &str) -> Vec<String> {
    let rows = query(text).run(models());
    rows.iter().map(|row| row["name"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn rows_are_filtered_and_sorted() {
    assert_eq!(names("show models where team = letters"), ["drafter", "proofreader"]);
    assert_eq!(names("show models where team = \"seats\""), ["narrator"]);
    assert_eq!(
        names("show models where bytes > 15GB sort by bytes"),
        ["narrator", "drafter"]
    );
    assert_eq!(
        names("show models where cold_ms<=30s and not team=seats"),
        ["proofreader"]
    );
    assert_eq!(
        names("show models where name ~ read or (replicas = 2 and team != seats)"),
        ["drafter", "proofreader"]
    );
    assert_eq!(names("show models sort by name desc limit 1"), ["proofreader"]);
}

#[test]
fn and_binds_more_tightly_than_or() {
    let text = "show models where team = seats or team = letters and replicas = 1";
    assert_eq!(names(text), ["proofreader", "narrator"]);
}

#[test]
fn a_missing_value_is_neither_less_nor_greater() {
    let row = || vec![Row::from_iter([("name".to_owned(), json!("x"))])];
    assert_eq!(query("show daemons where behind < 5").run(row()).len(), 0);
    assert_eq!(query("show daemons where behind >= 0").run(row()).len(), 0);
    assert_eq!(query("show daemons where behind = none").run(row()).len(), 1);
    assert_eq!(query("show daemons where behind != none").run(row()).len(), 0);
}

#[test]
fn other_commands_are_parsed() {
    assert_eq!(
        parse("apply declarations/letters").unwrap(),
        Command::Apply("declarations/letters".into())
    );
    assert_eq!(parse("plan 'my files'").unwrap(), Command::Plan("my files".into()));
    assert_eq!(parse("rollback to 12").unwrap(), Command::Rollback { to: 12 });
    assert_eq!(parse("rollback 12").unwrap(), Command::Rollback { to: 12 });
    assert_eq!(parse("history").unwrap(), Command::History { limit: None });
    assert_eq!(parse("history limit 5").unwrap(), Command::History { limit: Some(5) });
    assert_eq!(parse("drain entry-3").unwrap(), Command::Drain("entry-3".into()));
    let files = vec!["a1.log".into(), "a2.log".into()];
    let trace = Command::Trace { id: "letter-7".into(), files };
    assert_eq!(parse("trace letter-7 a1.log a2.log").unwrap(), trace);
    assert_eq!(query("show in-force").subject.name, "daemons");
    let properties = vec![("model", "letter-draft".into()), ("caller", "portal".into())];
    assert_eq!(
        parse("explain request model = letter-draft, caller = portal").unwrap(),
        Command::Explain(properties)
    );
}

#[test]
fn syntax_errors_name_the_column() {
    assert_snapshot!(rendered_error("shwo models"), @r#"
column 1: there is no command `shwo`
  shwo models
  ^^^^
did you mean `show`?
"#);
    assert_snapshot!(rendered_error("show modles where team = x"), @r#"
column 6: there is no thing to show `modles`
  show modles where team = x
       ^^^^^^
did you mean `models`?
"#);
    assert_snapshot!(rendered_error("show models where taem = x"), @r#"
column 19: there is no field of models `taem`
  show models where taem = x
                    ^^^^
did you mean `team`?
"#);
    assert_snapshot!(rendered_error("show models where bytes > 20XB"), @r#"
column 27: `20XB` does not fit `bytes`
  show models where bytes > 20XB
                            ^^^^
write a number of bytes, such as 20GB or 512MiB
"#);
    assert_snapshot!(rendered_error("show models where bytes ~ 20"), @r#"
column 25: `bytes` can't be compared like this
  show models where bytes ~ 20
                          ^
use =, !=, <, <=, > or >=
"#);
    assert_snapshot!(rendered_error("show models where team < x"), @r#"
column 24: `team` can't be compared like this
  show models where team < x
                         ^
use =, != or ~
"#);
    assert_snapshot!(rendered_error("show models where team ="), @r#"
column 25: a value is missing
  show models where team =
                          ^
write a word or a text in quotes
"#);
    assert_snapshot!(rendered_error("show models where team = \"x"), @r#"
column 26: the text in quotes does not end
  show models where team = "x
                           ^^
add " at its end
"#);
    assert_snapshot!(rendered_error("show models where (team = x or name = y"), @r#"
column 40: `)` is missing
  show models where (team = x or name = y
                                         ^
write `)`
"#);
    assert_snapshot!(rendered_error("show models where team = x name = y"), @r#"
column 28: the command goes on unexpectedly
  show models where team = x name = y
                             ^^^^
remove this
"#);
    assert_snapshot!(rendered_error("show pools where fenced = yes"), @r#"
column 27: `yes` does not fit `fenced`
  show pools where fenced = yes
                            ^^^
write true or false
"#);
    assert_snapshot!(rendered_error("show models sort by size"), @r#"
column 21: there is no field of models `size`
  show models sort by size
                      ^^^^
write one of name, team, pool, version, bytes, cold_ms, replicas
"#);
    assert_snapshot!(rendered_error("show models limit many"), @r#"
column 19: `many` is no whole number
  show models limit many
                    ^^^^
write one
"#);
    assert_snapshot!(rendered_error("rollback to yesterday"), @r#"
column 13: `yesterday` is no revision
  rollback to yesterday
              ^^^^^^^^^
write its number, as `history` shows it
"#);
    assert_snapshot!(rendered_error("apply"), @r#"
column 6: a directory is missing
  apply
       ^
write a directory
"#);
    assert_snapshot!(rendered_error("explain request modle = x"), @r#"
column 17: there is no property of a request `modle`
  explain request modle = x
                  ^^^^^
did you mean `model`?
"#);
    assert_snapshot!(rendered_error("show callers where name = ółw & x"), @r#"
column 31: the command goes on unexpectedly
  show callers where name = ółw & x
                                ^
remove this
"#);
    assert_snapshot!(rendered_error("show callers where name == x"), @r#"
column 26: `=` is no value
  show callers where name == x
                           ^
write a word or a text in quotes
"#);
    assert_snapshot!(rendered_error(""), @r#"
column 1: a command is missing
  
  ^
write one of check, plan, apply, show, explain, history, rollback, change, drain, trace
"#);
}

/// Random commands made of tokens, which get further into the grammar than random
/// characters.
fn text() -> impl Strategy<Value = String> {
    let tokens = prop::sample::select(vec![
        "show ",
        "models ",
        "where ",
        "team",
        "bytes",
        "=",
        "!=",
        "<",
        ">=",
        "~",
        " ",
        "(",
        ")",
        "not ",
        "and ",
        "or ",
        "sort ",
        "by ",
        "limit ",
        "20GB",
        "1e9",
        "..",
        "\"",
        "'",
        "\\",
        "explain ",
        "request ",
        "rollback ",
        "to ",
        ",",
        "none",
        "ż",
        "\n",
        "!",
    ]);
    prop_oneof![
        prop::collection::vec(tokens, 0..60).prop_map(|tokens| tokens.concat()),
        any::<String>(),
        prop::collection::vec(any::<u8>(), 0..80)
            .prop_map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    #[test]
    fn no_command_makes_the_parser_panic(text in text()) {
        match parse(&text) {
            Ok(Command::Show(query)) => drop(query.run(models())),
            Ok(_) => {}
            Err(error) => {
                let rendered = error.render(&text).to_string();
                prop_assert!(rendered.contains('^'), "{}", rendered);
            }
        }
    }
}

#[test]
fn deep_conditions_are_rejected_without_stack_overflow() {
    for opening in ["(", "not ", "not ("] {
        let text = format!("show models where {}", opening.repeat(100_000));
        assert!(parse(&text).is_err());
    }
}
