//! The gateways of one simulation, and the batches of lines that drive them.

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

/// One gateway: its decisions and the names it has met.
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

/// The directory that is being read.
#[derive(Clone, Copy)]
struct OpenDirectory {
    slot: u64,
    missing_rows: u64,
}

/// All gateways of this process and the directories that their events refer to.
#[derive(Default)]
struct Simulation {
    gateways: HashMap<u64, Gateway>,
    directories: Directories,
    open_directory: Option<OpenDirectory>,
    actions: Vec<Action>,
}

impl Simulation {
    /// Handles one line of a batch and writes what it causes.
    fn handle_line(&mut self, now: Time, line: &str, out: &mut String) -> Result<(), LineError> {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if let Some(open) = self.open_directory {
            return self.add_row(open, name, rest);
        }
        let last_field = (name == START).then_some(SETTINGS);
        let fields = Fields::parse(rest, last_field)?;
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
        let number = fields.required_u64(GATEWAY)?;
        let unknown = || LineError::UnknownGateway { event: name.to_owned(), gateway: number };
        let gateway = self.gateways.get_mut(&number).ok_or_else(unknown)?;
        let mut parser = EventParser { names: &mut gateway.names, directories: &self.directories };
        let Some(event) = parser.parse(name, fields)? else { return Ok(()) };
        gateway.balancer.handle(now, event, &mut self.actions);
        let servers = gateway.names.servers.names();
        for action in self.actions.drain(..) {
            write_action(out, number, servers, &action);
        }
        Ok(())
    }
}

/// What follows a line.
enum Step {
    Continue,
    EndOfInput,
}

/// Reads batches of lines and answers each.
struct Session<R, W> {
    input: R,
    output: W,
    simulation: Simulation,
    /// The time of the batch that is being read.
    now: Option<Time>,
    line: Vec<u8>,
    line_number: u64,
    answer: String,
}

impl<R: BufRead, W: Write> Session<R, W> {
    fn step(&mut self) -> Result<Step, AdapterError> {
        self.line.clear();
        if self.input.read_until(b'\n', &mut self.line)? == 0 {
            return match self.now {
                None => Ok(Step::EndOfInput),
                Some(_) => Err(self.line_error(LineError::IncompleteBatch)),
            };
        }
        self.line_number += 1;
        match self.handle_line() {
            Ok(true) => self.finish_batch()?,
            Ok(false) => {}
            Err(error) => return Err(self.line_error(error)),
        }
        Ok(Step::Continue)
    }

    /// Handles the line that was read; returns whether it ends the batch.
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
/// Fails on broken pipes and on lines that do not follow the grammar.
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
        if let Step::EndOfInput = session.step()? {
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
