//! The subjects that can be shown, and their fields.

/// A type of rows that can be shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subject {
    /// The name in commands and in the daemons' HTTP interface.
    pub name: &'static str,
    /// Where the rows come from.
    pub source: Source,
    /// The fields, in the order of the columns.
    pub fields: &'static [Field],
}

/// Where rows come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The operators' interface of the first daemon that responds, with a team's key.
    Daemon,
    /// This section of the state of all named daemons on the users' platform.
    Gate(Section),
}

/// A section of the state of a daemon on the users' platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Section {
    /// The fields of the daemon itself.
    TopLevel,
    /// The list of rows under this key.
    List(&'static str),
    /// The rows by name under this key.
    Map(&'static str),
}

/// A field of a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Field {
    /// The name of the field and its column.
    pub name: &'static str,
    /// The type of its values.
    pub kind: FieldKind,
}

/// The type of a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FieldKind {
    /// A string.
    Text,
    /// A number without a unit.
    Number,
    /// A number of bytes.
    Bytes,
    /// A number of milliseconds.
    Millis,
    /// True or false.
    Bool,
}

impl Subject {
    /// The subject with this name.
    pub fn find(name: &str) -> Option<&'static Self> {
        SUBJECTS.iter().find(|subject| subject.name == name)
    }

    /// The field with this name.
    pub fn field(&self, name: &str) -> Option<&'static Field> {
        self.fields.iter().find(|field| field.name == name)
    }
}

const fn field(name: &'static str, kind: FieldKind) -> Field {
    Field { name, kind }
}

const fn text(name: &'static str) -> Field {
    field(name, FieldKind::Text)
}

const fn number(name: &'static str) -> Field {
    field(name, FieldKind::Number)
}

const fn bytes(name: &'static str) -> Field {
    field(name, FieldKind::Bytes)
}

const fn millis(name: &'static str) -> Field {
    field(name, FieldKind::Millis)
}

const fn boolean(name: &'static str) -> Field {
    field(name, FieldKind::Bool)
}

/// All subjects of `show`.
pub const SUBJECTS: &[Subject] = &[
    Subject {
        name: "pools",
        source: Source::Daemon,
        fields: &[
            text("name"),
            text("team"),
            bytes("memory"),
            number("accelerators"),
            number("streams"),
            number("tokens"),
            millis("step_ms"),
            boolean("fenced"),
            number("parallel_loads"),
            number("load_rate"),
            number("attainment_weight"),
            number("move_weight"),
        ],
    },
    Subject {
        name: "models",
        source: Source::Daemon,
        fields: &[
            text("name"),
            text("team"),
            text("pool"),
            text("version"),
            bytes("bytes"),
            millis("cold_ms"),
            number("replicas"),
        ],
    },
    Subject {
        name: "adapters",
        source: Source::Daemon,
        fields: &[text("name"), text("team"), text("model"), bytes("bytes")],
    },
    Subject {
        name: "services",
        source: Source::Daemon,
        fields: &[text("name"), text("team"), number("parallel"), text("kind")],
    },
    Subject {
        name: "kinds",
        source: Source::Daemon,
        fields: &[
            text("name"),
            text("team"),
            text("urgency"),
            millis("deadline_ms"),
            boolean("idempotent"),
        ],
    },
    Subject {
        name: "callers",
        source: Source::Daemon,
        fields: &[
            text("name"),
            text("team"),
            number("share"),
            text("key_sha256"),
            number("priority"),
            text("limit"),
        ],
    },
    Subject {
        name: "routes",
        source: Source::Daemon,
        fields: &[
            text("name"),
            text("team"),
            text("model"),
            text("adapter"),
            text("kind"),
        ],
    },
    Subject {
        name: "files",
        source: Source::Daemon,
        fields: &[
            text("name"),
            text("team"),
            number("revision"),
            text("author"),
            text("change"),
            bytes("bytes"),
        ],
    },
    Subject {
        name: "daemons",
        source: Source::Daemon,
        fields: &[
            text("name"),
            text("domain"),
            number("revision"),
            number("behind"),
            boolean("leaving"),
            text("caller_addr"),
            text("ops_addr"),
            text("member"),
        ],
    },
    Subject {
        name: "servers",
        source: Source::Daemon,
        fields: &[
            text("name"),
            text("role"),
            text("of"),
            text("domain"),
            text("address"),
            boolean("leaving"),
            text("lead"),
        ],
    },
    Subject {
        name: "residents",
        source: Source::Daemon,
        fields: &[text("name"), text("kind"), text("version"), text("server")],
    },
    Subject {
        name: "gates",
        source: Source::Gate(Section::TopLevel),
        fields: &[
            text("name"),
            text("member"),
            millis("uptime_ms"),
            boolean("ready"),
            boolean("leaving"),
            number("active"),
            number("revision"),
        ],
    },
    Subject {
        name: "gate-tables",
        source: Source::Gate(Section::List("tables")),
        fields: &[text("seen_by"), text("name"), number("version"), millis("age_ms")],
    },
    Subject {
        name: "gate-members",
        source: Source::Gate(Section::List("members")),
        fields: &[
            text("seen_by"),
            text("vm"),
            text("member"),
            boolean("alive"),
            boolean("open"),
        ],
    },
    Subject {
        name: "gate-claims",
        source: Source::Gate(Section::Map("claims")),
        fields: &[
            text("seen_by"),
            text("name"),
            text("holder_vm"),
            text("holder"),
            number("fence"),
            number("version"),
        ],
    },
    Subject {
        name: "gate-servers",
        source: Source::Gate(Section::Map("servers")),
        fields: &[
            text("seen_by"),
            text("name"),
            text("service"),
            text("phase"),
            boolean("open"),
            number("requests"),
        ],
    },
    Subject {
        name: "gate-runners",
        source: Source::Gate(Section::Map("held")),
        fields: &[
            text("seen_by"),
            text("name"),
            text("models"),
            number("orders"),
            millis("busy_ms"),
            number("requests"),
        ],
    },
    Subject {
        name: "gate-queues",
        source: Source::Gate(Section::Map("queues")),
        fields: &[text("seen_by"), text("name"), number("waiting")],
    },
];

/// The rows of `history`.
pub const HISTORY: Subject = Subject {
    name: "history",
    source: Source::Daemon,
    fields: &[
        number("revision"),
        text("team"),
        text("author"),
        text("at"),
        text("files"),
        text("note"),
        text("change"),
    ],
};
