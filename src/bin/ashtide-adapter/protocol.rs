//! Line, field and value names of the simulator's protocol, and their mapping to the decision module's types.

use std::collections::HashMap;
use std::fmt::Write as _;

use ashtide::quic::load_balancing::server_id_for_name;
use ashtide::settings::{NameTables, group_id, span_from_seconds};
use ashtide::{
    Action, CellId, ClassId, EndpointEntry, Event, KindId, ListUpdate, LoadReport, Outcome, Request,
    RequestId, ServerId, ServerState, TenantId, Time, TimerToken, ZoneId,
};

use crate::error::LineError;
use crate::fields::{Fields, check_hex, parse_number, time_from_seconds};

pub const BATCH_START: &str = "TURN ";
pub const END_OF_BATCH: &str = "EOB";
pub const BATCH_DONE: &str = "DONE\n";
pub const START: &str = "START";
pub const SHUTDOWN: &str = "SHUTDOWN";
pub const DIRECTORY: &str = "DIRECTORY";
pub const ROW: &str = "ROW";

pub const GATEWAY: &str = "relayId";
pub const SEED: &str = "initSeed";
pub const SETTINGS: &str = "facts";
pub const SLOT: &str = "slot";
pub const ENTRIES: &str = "entries";
pub const CLOCK: &str = "simTime";
const REQUEST: &str = "opId";
const ATTEMPT: &str = "trial";
const SERVER: &str = "backend";
const OUTCOME: &str = "verdict";

const MICROS_PER_SECOND: f64 = 1e6;
const MILLIS_PER_SECOND: f64 = 1e3;

/// Value of the field `what` in an `UPDATE_OF` line that reports the load of a connection.
const LOAD_UPDATE: u64 = 1;
/// Value of the field `what` in an `UPDATE_OF` line that reports a server's response time.
const RESPONSE_TIME_UPDATE: u64 = 2;

/// Row of a `DIRECTORY`. Its names are interned only when a gateway uses the row.
pub struct DirectoryRow {
    server: String,
    zone: String,
    machine_kind: String,
    cell: u32,
    state: ServerState,
    weight: f64,
    started_at: Option<Time>,
}

impl DirectoryRow {
    pub fn parse(text: &str) -> Result<Self, LineError> {
        let fields = Fields::parse(text, None)?;
        let start = fields.optional_number("startTime")?;
        Ok(Self {
            server: fields.required(SERVER)?.to_owned(),
            zone: fields.get("rackZone").unwrap_or_default().to_owned(),
            machine_kind: fields.get("model").unwrap_or_default().to_owned(),
            cell: fields.optional_u32("cluster")?,
            state: parse_state(fields.get("state"))?,
            weight: fields.optional_number("size")?.unwrap_or(1.0),
            started_at: start.filter(|&seconds| seconds != 0.0).map(time_from_seconds),
        })
    }

    pub fn endpoint(&self, names: &mut NameTables) -> EndpointEntry {
        EndpointEntry {
            server: ServerId(names.servers.intern(&self.server)),
            hash_key: u32::from_be_bytes(server_id_for_name(&self.server)),
            zone: ZoneId(names.zones.intern(&self.zone)),
            machine_kind: KindId(names.kinds.intern(&self.machine_kind)),
            cell: CellId(self.cell),
            state: self.state,
            weight: self.weight,
            started_at: self.started_at,
        }
    }
}

fn parse_state(value: Option<&str>) -> Result<ServerState, LineError> {
    match value {
        None | Some("on") => Ok(ServerState::Ready),
        Some("fading") => Ok(ServerState::Draining),
        Some("off") => Ok(ServerState::Removed),
        Some(other) => Err(LineError::UnknownState(other.to_owned())),
    }
}

fn parse_list_update(value: &str) -> Result<ListUpdate, LineError> {
    match value {
        "patch" => Ok(ListUpdate::Delta),
        "whole" => Ok(ListUpdate::Snapshot),
        "stale_copy" => Ok(ListUpdate::Cached),
        "broken" => Ok(ListUpdate::WatchFailed),
        other => Err(LineError::UnknownListUpdate(other.to_owned())),
    }
}

fn parse_outcome(value: &str) -> Result<Outcome, LineError> {
    match value {
        "Ok" => Ok(Outcome::Ok),
        "Failed" => Ok(Outcome::Failed),
        "QueueFull" => Ok(Outcome::QueueFull),
        "TimedOut" => Ok(Outcome::TimedOut),
        "ConnectError" => Ok(Outcome::ConnectError),
        "ResetByPeer" => Ok(Outcome::Reset),
        "Canceled" => Ok(Outcome::Cancelled),
        "Ignored" => Ok(Outcome::NotSent),
        other => Err(LineError::UnknownOutcome(other.to_owned())),
    }
}

fn parse_load_report(text: &str) -> Result<LoadReport, LineError> {
    let mut report = LoadReport::default();
    for pair in text.split(',').filter(|pair| !pair.is_empty()) {
        let not_a_pair = || LineError::NotAReportPair(pair.to_owned());
        let (name, value) = pair.split_once(':').ok_or_else(not_a_pair)?;
        match name {
            "x0" => report.load_ratio = Some(parse_number("x0", value)?),
            "cpu_share" => report.utilisation = Some(parse_number("cpu_share", value)?),
            _ => {}
        }
    }
    Ok(report)
}

/// Directories that have been received, by slot.
pub type Directories = HashMap<u64, Vec<DirectoryRow>>;

/// Parser of the events of one gateway.
pub struct EventParser<'a> {
    pub names: &'a mut NameTables,
    pub directories: &'a Directories,
}

impl EventParser<'_> {
    /// Parses the fields of the line `name` into an event; returns `None` for lines that the decision module
    /// does not use.
    pub fn parse(&mut self, name: &str, fields: &Fields) -> Result<Option<Event>, LineError> {
        let event = match name {
            "DISCOVERY" => self.endpoint_list(fields)?,
            "QUERY" => Event::Request(self.request(fields)?),
            "EXISTING" => {
                let request = self.request(fields)?;
                Event::ExistingConnection { request, server: self.server(fields)? }
            }
            "UNDER_WAY" => Event::Established {
                id: request_id(fields)?,
                attempt: fields.required_u32(ATTEMPT)?,
                elapsed: fields.span("delaySeen")?,
            },
            "RESULT" => Event::AttemptEnded {
                id: request_id(fields)?,
                attempt: fields.required_u32(ATTEMPT)?,
                outcome: parse_outcome(fields.required(OUTCOME)?)?,
                request_done: fields.flag("noMore")?,
            },
            "GONE" => Event::ClientLeft { id: request_id(fields)? },
            "UPDATE_OF" => return self.update(fields),
            "SAMPLED" => Event::HealthChecked {
                server: self.server(fields)?,
                healthy: fields.required(OUTCOME)? == "Ok",
                report: fields.get("healthInfo").map(parse_load_report).transpose()?,
            },
            "ALARM" => Event::Timer(TimerToken(fields.required_u64("handle")?)),
            "MAIL" => return ignore_peer_message(fields),
            other => return Err(LineError::UnknownEvent(other.to_owned())),
        };
        Ok(Some(event))
    }

    fn endpoint_list(&mut self, fields: &Fields) -> Result<Event, LineError> {
        let update = parse_list_update(fields.required("how")?)?;
        if update == ListUpdate::WatchFailed {
            return Ok(Event::EndpointList { update, entries: Vec::new() });
        }
        let slot = fields.required_u64(SLOT)?;
        let rows = self.directories.get(&slot).ok_or(LineError::UnknownDirectory(slot))?;
        let entries = rows.iter().map(|row| row.endpoint(self.names)).collect();
        Ok(Event::EndpointList { update, entries })
    }

    fn request(&mut self, fields: &Fields) -> Result<Request, LineError> {
        let class = fields.required("band")?;
        let unknown_class = || LineError::UnknownClass(class.to_owned());
        let tenant = fields.get("owner").and_then(|name| self.names.tenants.find(name));
        Ok(Request {
            class: ClassId(self.names.classes.find(class).ok_or_else(unknown_class)?),
            id: request_id(fields)?,
            tenant: tenant.map(TenantId),
            group: fields.get("room").map(group_id),
            time_left: fields.span("ttl")?,
            load: fields.optional_number("workHint")?,
        })
    }

    /// Parses an `UPDATE_OF` line, which reports the load or the response time of an open connection.
    fn update(&mut self, fields: &Fields) -> Result<Option<Event>, LineError> {
        let amount = fields.optional_number("amount")?.unwrap_or(0.0);
        Ok(match fields.required_u64("what")? {
            LOAD_UPDATE => {
                Some(Event::LoadChanged { id: request_id(fields)?, load: amount / MICROS_PER_SECOND })
            }
            RESPONSE_TIME_UPDATE => {
                let response_time = span_from_seconds(amount / MILLIS_PER_SECOND);
                Some(Event::SlowResponses { server: self.server(fields)?, response_time })
            }
            _ => None,
        })
    }

    fn server(&mut self, fields: &Fields) -> Result<ServerId, LineError> {
        Ok(ServerId(self.names.servers.intern(fields.required(SERVER)?)))
    }
}

fn request_id(fields: &Fields) -> Result<RequestId, LineError> {
    fields.required_u32(REQUEST).map(RequestId)
}

/// Validates a message from another gateway and discards it. The adapter disables fleet permits, and only the
/// daemon exchanges messages between gateways.
fn ignore_peer_message(fields: &Fields) -> Result<Option<Event>, LineError> {
    fields.required_u32("author")?;
    check_hex(fields.get("body").unwrap_or("-"))?;
    Ok(None)
}

/// Appends the protocol line of an action to `out`. `servers` maps the server ids of the decision module to
/// names.
pub fn write_action(out: &mut String, gateway: u64, servers: &[String], action: &Action) {
    let server_name = |server: ServerId| servers[server.0 as usize].as_str();
    let written = match *action {
        Action::Attempt { id, server, timeout } => {
            let server = server_name(server);
            let timeout = seconds(timeout.as_micros());
            writeln!(out, "DELIVER {GATEWAY}={gateway} {REQUEST}={} {SERVER}={server} cap={timeout}", id.0)
        }
        Action::Reject { id, retry_after } => {
            let retry_after = seconds(retry_after.as_micros());
            writeln!(out, "REJECT {GATEWAY}={gateway} {REQUEST}={} comeBack={retry_after}", id.0)
        }
        Action::Fail { id } => writeln!(out, "END_FAILED {GATEWAY}={gateway} {REQUEST}={}", id.0),
        Action::CancelAttempt { id, attempt } => {
            writeln!(out, "RECALL {GATEWAY}={gateway} {REQUEST}={} {ATTEMPT}={attempt}", id.0)
        }
        Action::Migrate { id } => writeln!(out, "GO_AWAY {GATEWAY}={gateway} {REQUEST}={}", id.0),
        Action::SetTimer { token, due_at } => {
            let due_at = seconds(due_at.as_micros());
            writeln!(out, "NOTIFY_ME {GATEWAY}={gateway} handle={} when={due_at}", token.0)
        }
        Action::CheckHealth { server } => {
            writeln!(out, "TEST {GATEWAY}={gateway} {SERVER}={}", server_name(server))
        }
        // The adapter disables fleet permits, so that no permit is requested.
        Action::RequestPermit { .. } => Ok(()),
        Action::Subscribe => writeln!(out, "SUBSCRIBE {GATEWAY}={gateway} on=1"),
    };
    written.expect("writing to a string does not fail");
}

fn seconds(micros: i64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}
