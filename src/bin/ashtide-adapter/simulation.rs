//! Simulated gateways and the processing of the batches of lines that drive them.

use std::collections::HashMap;
use std::io::{BufRead, Write};

use ashtide::settings::{NameTables, PlatformSettings};
use ashtide::{Action, Balancer, Settings, Time};

use crate::error::{AdapterError, LineError};
use crate::fields::{Fields, time_from_seconds};
use crate::protocol::{
    BATCH_DONE, BATCH_START, CLOCK, DIRECTORY, Directories, DirectoryRow, END_OF_BATCH, ENTRIES, EventParser,
    GATEWAY, ROW, SEED, SETTINGS, SHUTDOWN, SLOT, START, write_action,
};

/// Simulated gateway with its decision module and its tables of interned names.
struct Gateway {
    balancer: Balancer,
    names: NameTables,
}

impl Gateway {
    fn start(fields: &Fields) -> Result<Self, LineError> {
        let seed = fields.required_u64(SEED)?;
        let platform = PlatformSettings::parse(fields.required(SETTINGS)?)
            .map_err(|error| LineError::InvalidSettings(error.to_string()))?;
        let names = platform.name_tables();
        let settings = Settings { fleet_permits: false, ..platform.balancer_settings(&names) };
        Ok(Self { balancer: Balancer::new(settings, seed), names })
    }
}

/// Directory that is incomplete, because some rows have not been received yet.
#[derive(Clone, Copy)]
struct OpenDirectory {
    slot: u64,
    missing_rows: u64,
}

/// All gateways of this process, and the directories that their events refer to by slot.
#[derive(Default)]
struct Simulation {
    gateways: HashMap<u64, Gateway>,
    directories: Directories,
    open_directory: Option<OpenDirectory>,
    actions: Vec<Action>,
}

impl Simulation {
    /// Handles one line of a batch and appends the resulting actions to `out`.
    fn handle_line(&mut self, now: Time, line: &str, out: &mut String) -> Result<(), LineError> {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if let Some(open) = self.open_directory {
            return self.add_row(open, name, rest);
        }
        let settings_field = (name == START).then_some(SETTINGS);
        let fields = Fields::parse(rest, settings_field)?;
        match name {
            DIRECTORY => self.begin_directory(&fields),
            START => self.start_gateway(&fields),
            SHUTDOWN => self.stop_gateway(&fields),
            _ => self.handle_event(now, name, &fields, out),
        }
    }

    fn begin_directory(&mut self, fields: &Fields) -> Result<(), LineError> {
        let slot = fields.required_u64(SLOT)?;
        let missing_rows = fields.required_u64(ENTRIES)?;
        self.directories.insert(slot, Vec::new());
        self.open_directory = (missing_rows > 0).then_some(OpenDirectory { slot, missing_rows });
        Ok(())
    }

    fn add_row(&mut self, open: OpenDirectory, name: &str, row: &str) -> Result<(), LineError> {
        if name != ROW {
            return Err(LineError::RowExpected(name.to_owned()));
        }
        self.directories.entry(open.slot).or_default().push(DirectoryRow::parse(row)?);
        let missing_rows = open.missing_rows - 1;
        self.open_directory = (missing_rows > 0).then_some(OpenDirectory { missing_rows, ..open });
        Ok(())
    }

    fn start_gateway(&mut self, fields: &Fields) -> Result<(), LineError> {
        let gateway = Gateway::start(fields)?;
        self.gateways.insert(fields.required_u64(GATEWAY)?, gateway);
        Ok(())
    }

    fn stop_gateway(&mut self, fields: &Fields) -> Result<(), LineError> {
        self.gateways.remove(&fields.required_u64(GATEWAY)?);
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: Time,
        name: &str,
        fields: &Fields,
        out: &mut String,
    ) -> Result<(), LineError> {
        let gateway_id = fields.required_u64(GATEWAY)?;
        let unknown_gateway = || LineError::UnknownGateway { event: name.to_owned(), gateway: gateway_id };
        let gateway = self.gateways.get_mut(&gateway_id).ok_or_else(unknown_gateway)?;
        let mut parser = EventParser { names: &mut gateway.names, directories: &self.directories };
        let Some(event) = parser.parse(name, fields)? else { return Ok(()) };
        gateway.balancer.handle(now, event, &mut self.actions);
        let servers = gateway.names.servers.names();
        for action in self.actions.drain(..) {
            write_action(out, gateway_id, servers, &action);
        }
        Ok(())
    }
}

/// Result of reading one line.
enum LineResult {
    Continue,
    EndOfInput,
}

/// Reader of batches of lines that writes one answer for each batch.
struct Session<R, W> {
    input: R,
    output: W,
    simulation: Simulation,
    /// Simulated time of the batch that is being read; `None` between batches.
    now: Option<Time>,
    line: Vec<u8>,
    line_number: u64,
    answer: String,
}

impl<R: BufRead, W: Write> Session<R, W> {
    fn read_line(&mut self) -> Result<LineResult, AdapterError> {
        self.line.clear();
        if self.input.read_until(b'\n', &mut self.line)? == 0 {
            return match self.now {
                None => Ok(LineResult::EndOfInput),
                Some(_) => Err(self.line_error(LineError::IncompleteBatch)),
            };
        }
        self.line_number += 1;
        match self.handle_line() {
            Ok(true) => self.finish_batch()?,
            Ok(false) => {}
            Err(error) => return Err(self.line_error(error)),
        }
        Ok(LineResult::Continue)
    }

    /// Handles the line in the buffer; returns whether it ends the batch.
    fn handle_line(&mut self) -> Result<bool, LineError> {
        let text = std::str::from_utf8(&self.line).map_err(|_| LineError::NotUtf8)?;
        let text = text.trim_end_matches(['\n', '\r']);
        match self.now {
            _ if text.is_empty() => {}
            Some(_) if text == END_OF_BATCH => {
                if self.simulation.open_directory.is_some() {
                    return Err(LineError::IncompleteDirectory);
                }
                return Ok(true);
            }
            Some(now) => self.simulation.handle_line(now, text, &mut self.answer)?,
            None => self.now = Some(parse_batch_start(text)?),
        }
        Ok(false)
    }

    fn finish_batch(&mut self) -> Result<(), AdapterError> {
        self.answer.push_str(BATCH_DONE);
        self.output.write_all(self.answer.as_bytes())?;
        self.output.flush()?;
        self.answer.clear();
        self.now = None;
        Ok(())
    }

    fn line_error(&self, source: LineError) -> AdapterError {
        AdapterError::Line { line: self.line_number, source }
    }
}

/// Serves batches until the input ends.
///
/// # Errors
///
/// Returns an error if a pipe is broken or a line does not follow the protocol's grammar.
pub fn serve(input: impl BufRead, output: impl Write) -> Result<(), AdapterError> {
    let mut session = Session {
        input,
        output,
        simulation: Simulation::default(),
        now: None,
        line: Vec::new(),
        line_number: 0,
        answer: String::new(),
    };
    loop {
        if let LineResult::EndOfInput = session.read_line()? {
            return Ok(());
        }
    }
}

fn parse_batch_start(text: &str) -> Result<Time, LineError> {
    let fields =
        text.strip_prefix(BATCH_START).ok_or_else(|| LineError::BatchStartExpected(text.to_owned()))?;
    let clock = Fields::parse(fields, None)?.required_number(CLOCK)?;
    if clock.is_finite() { Ok(time_from_seconds(clock)) } else { Err(LineError::ClockNotFinite) }
}
