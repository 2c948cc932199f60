//! Reads and checks the declarations of one team.

use std::time::Duration;

use chestnut_account::account::AccountProblem;
use chestnut_account::{ClientAccount, KeyDigest, Limit, Unit};
use chestnut_base::{
    AdapterName, CallerName, KindName, ModelName, NameError, PoolName, ServiceName,
    TeamName, Urgency,
};
use indexmap::{IndexMap, IndexSet};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, OneOrMany, Same};

use crate::catalog::{Adapter, Caller, Kind, Model, Pool, Route, Service};
use crate::problem::{Location, Problems};
use crate::reader::{Fields, read_object};

const EXPECTED_BYTES: &str = "a whole number of bytes";
const EXPECTED_MILLIS: &str = "a whole number of milliseconds, such as 2000";
const EXPECTED_COUNT: &str = "a whole number greater than zero";
const EXPECTED_NUMBER: &str = "a number of zero or more";

/// The files of one team's declarations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamFiles {
    /// The text of each file, by the file's name.
    pub files: IndexMap<String, String>,
}

/// A declaration and the location of its text.
#[derive(Debug, Clone)]
pub struct Located<T> {
    /// The declaration.
    pub value: T,
    /// The location of its name.
    pub location: Location,
    /// The locations of its fields that must agree with other declarations.
    pub references: IndexMap<&'static str, Location>,
}

/// The declarations of one team, checked without those of other teams.
#[derive(Debug, Clone, Default)]
pub struct TeamDeclarations {
    /// Pools of runners.
    pub pools: Vec<(PoolName, Located<Pool>)>,
    /// Models.
    pub models: Vec<(ModelName, Located<Model>)>,
    /// Adapters.
    pub adapters: Vec<(AdapterName, Located<Adapter>)>,
    /// Plain services.
    pub services: Vec<(ServiceName, Located<Service>)>,
    /// Kinds of request.
    pub kinds: Vec<(KindName, Located<Kind>)>,
    /// Callers.
    pub callers: Vec<(CallerName, Located<Caller>)>,
    /// Routes.
    pub routes: Vec<(String, Located<Route>)>,
    /// The types and names of invalid declarations.
    ///
    /// References to them are not reported as undeclared, since the declarations
    /// themselves already are reported.
    pub invalid: IndexSet<(&'static str, String)>,
}

impl TeamDeclarations {
    /// Reads and checks all files of a team.
    pub fn parse(team: &TeamName, files: &TeamFiles, problems: &mut Problems) -> Self {
        let mut declarations = Self::default();
        for (file, text) in &files.files {
            let file = format!("{team}/{file}");
            read_object(&file, text, problems, |fields| {
                declarations.read(team, fields);
                Some(())
            });
        }
        declarations
    }

    fn read(&mut self, team: &TeamName, fields: &mut Fields<'_>) {
        let invalid = &mut self.invalid;
        let mut reader = SectionReader { fields, invalid };
        reader.read("pool", "pools", &mut self.pools, &[], |f| pool(team, f));
        reader.read("model", "models", &mut self.models, &["pool"], |f| model(team, f));
        reader.read("adapter", "adapters", &mut self.adapters, &["model"], |f| {
            adapter(team, f)
        });
        reader.read("service", "services", &mut self.services, &["kind"], |f| {
            service(team, f)
        });
        reader.read("kind", "kinds", &mut self.kinds, &[], |f| kind(team, f));
        reader.read("caller", "callers", &mut self.callers, &["key_sha256"], |f| {
            caller(team, f)
        });
        let references = ["model", "adapter", "kind"];
        let mut routes: Vec<(ModelName, _)> = Vec::new();
        reader.read("route", "routes", &mut routes, &references, |f| route(team, f));
        let routes = routes.into_iter().map(|(name, it)| (name.to_string(), it));
        self.routes.extend(routes);
    }
}

/// Reads the sections of a file, each of which maps names to declarations.
struct SectionReader<'a, 'b> {
    fields: &'a mut Fields<'b>,
    invalid: &'a mut IndexSet<(&'static str, String)>,
}

impl SectionReader<'_, '_> {
    fn read<K, T>(
        &mut self,
        item_type: &'static str,
        section: &'static str,
        items: &mut Vec<(K, Located<T>)>,
        references: &[&'static str],
        mut read: impl FnMut(&mut Fields<'_>) -> Option<T>,
    ) where
        K: TryFrom<String, Error = NameError>,
    {
        self.fields.entries(section, |key, location, fields| {
            let value = read(fields);
            let references =
                references.iter().map(|&name| (name, fields.location(name))).collect();
            match (K::try_from(key.to_owned()), value) {
                (Ok(key), Some(value)) => {
                    items.push((key, Located { value, location, references }))
                }
                (Ok(_), None) => {
                    self.invalid.insert((item_type, key.to_owned()));
                }
                (Err(error), _) => {
                    let message = format!("the name {key:?} is invalid");
                    fields.add_problem_at(location, message, &error.to_string());
                }
            }
        });
    }
}

fn pool(team: &TeamName, fields: &mut Fields<'_>) -> Option<Pool> {
    let memory = count(fields, "memory", EXPECTED_BYTES);
    let accelerators = count(fields, "accelerators", EXPECTED_COUNT);
    let streams = count(fields, "streams", EXPECTED_COUNT);
    let tokens = count(fields, "tokens", EXPECTED_COUNT);
    let step_time = millis(fields, "step_ms");
    let fenced = fields.required("fenced", "true if the engines refuse outdated fences");
    let parallel_loads = count(fields, "parallel_loads", EXPECTED_COUNT);
    let load_rate = fields.required("load_rate", EXPECTED_NUMBER);
    let valid = load_rate.is_none_or(|rate: f64| rate > 0.0);
    fields.check("load_rate", valid, "no load would ever start", "write more than zero");
    let attainment_weight = weight(fields, "attainment_weight");
    let move_weight = weight(fields, "move_weight");
    Some(Pool {
        team: team.clone(),
        memory_bytes: memory?,
        accelerators: accelerators?,
        max_streams: streams?,
        kv_tokens: tokens?,
        step_time: step_time?,
        fenced: fenced?,
        parallel_loads: parallel_loads?,
        load_rate: load_rate?,
        attainment_weight,
        move_weight,
    })
}

fn model(team: &TeamName, fields: &mut Fields<'_>) -> Option<Model> {
    let pool = fields.required("pool", "the name of a pool");
    let version =
        fields.required("version", "the version that requests get, such as \"v3\"");
    let bytes = count(fields, "bytes", EXPECTED_BYTES);
    let load_time = millis(fields, "cold_ms");
    let replicas = fields.get_or("replicas", 1, EXPECTED_COUNT);
    fields.check(
        "replicas",
        replicas > 0,
        "the model would not be reachable",
        "write 1 or more",
    );
    Some(Model {
        team: team.clone(),
        pool: pool?,
        version: version?,
        memory_bytes: bytes?,
        load_time: load_time?,
        min_replicas: replicas,
    })
}

fn adapter(team: &TeamName, fields: &mut Fields<'_>) -> Option<Adapter> {
    let model = fields.required("model", "the name of a model");
    let bytes = count(fields, "bytes", EXPECTED_BYTES);
    Some(Adapter { team: team.clone(), model: model?, memory_bytes: bytes? })
}

fn service(team: &TeamName, fields: &mut Fields<'_>) -> Option<Service> {
    let parallel = count(fields, "parallel", EXPECTED_COUNT);
    let kind = fields.get_or("kind", None, "the name of a kind of request");
    Some(Service { team: team.clone(), max_parallel: parallel?, default_kind: kind })
}

fn kind(team: &TeamName, fields: &mut Fields<'_>) -> Option<Kind> {
    let urgency =
        fields.required::<Urgency>("urgency", "one of \"urgent\", \"normal\", \"slow\"");
    let deadline = millis(fields, "deadline_ms");
    let idempotent = fields
        .required("idempotent", "true only if a request may safely run more than once");
    Some(Kind {
        team: team.clone(),
        urgency: urgency?,
        deadline: deadline?,
        idempotent: idempotent?,
    })
}

fn caller(team: &TeamName, fields: &mut Fields<'_>) -> Option<Caller> {
    let expected = "the 64 lower-case hexadecimal digits of the key's SHA-256";
    let texts =
        fields.required_as::<Vec<String>, OneOrMany<Same>>("key_sha256", expected);
    let keys: Option<Result<Vec<_>, _>> =
        texts.map(|texts| texts.into_iter().map(KeyDigest::try_from).collect());
    let valid = keys.as_ref().is_none_or(Result::is_ok);
    fields.check(
        "key_sha256",
        valid,
        "this is not a SHA-256 hash",
        &format!("write {expected}"),
    );
    let share = fields.get_or("share", 1, EXPECTED_COUNT);
    fields.check("share", share > 0, "the caller would get no share", "write 1 or more");
    let urgency: Option<Urgency> =
        fields.get_or("urgency", None, "one of \"urgent\", \"normal\", \"slow\"");
    let limit = limit(fields);
    let account = ClientAccount {
        keys: keys?.ok()?,
        share,
        priority: urgency.map(|urgency| urgency as u8),
        limit,
    };
    Some(Caller { team: team.clone(), account })
}

fn limit(fields: &mut Fields<'_>) -> Option<Limit> {
    let unit = fields.get_or("unit", Unit::default(), "\"requests\" or \"tokens\"");
    let rate = fields.get_or("rate", 0.0, EXPECTED_NUMBER);
    let burst = fields.get_or("burst", 0.0, EXPECTED_NUMBER);
    let plain_tokens = fields.get_or("plain_tokens", 0, "a whole number of tokens");
    match Limit::checked(unit, rate, burst, plain_tokens) {
        Ok(limit) => limit,
        Err(problem) => {
            let field = if problem == AccountProblem::Burst { "burst" } else { "rate" };
            let message = "the number can't be used";
            fields.check(field, false, message, &format!("write {EXPECTED_NUMBER}"));
            None
        }
    }
}

fn route(team: &TeamName, fields: &mut Fields<'_>) -> Option<Route> {
    let model = fields.required("model", "the name of a model");
    let adapter = fields.get_or("adapter", None, "the name of an adapter");
    let kind = fields.get_or("kind", None, "the name of a kind of request");
    Some(Route { team: team.clone(), model: model?, adapter, default_kind: kind })
}

fn count<T>(fields: &mut Fields<'_>, name: &'static str, expected: &str) -> Option<T>
where
    T: DeserializeOwned + Default + PartialEq,
{
    let number: Option<T> = fields.required(name, expected);
    let valid = number.as_ref().is_none_or(|it| *it != T::default());
    fields.check(name, valid, "the value is zero", &format!("write {expected}"));
    number
}

fn millis(fields: &mut Fields<'_>, name: &'static str) -> Option<Duration> {
    let time =
        fields.required_as::<Duration, DurationMilliSeconds<u64>>(name, EXPECTED_MILLIS);
    let valid = time.is_none_or(|it| !it.is_zero());
    fields.check(name, valid, "the time is zero", &format!("write {EXPECTED_MILLIS}"));
    time
}

fn weight(fields: &mut Fields<'_>, name: &'static str) -> f64 {
    let weight = fields.get_or(name, 1.0, EXPECTED_NUMBER);
    fields.check(
        name,
        weight >= 0.0,
        "a weight is negative",
        &format!("write {EXPECTED_NUMBER}"),
    );
    weight
}
