//! The line protocol between the simulator and the adapter.
//!
//! A batch is a `mark` with the time, any number of messages, and `end`; each message is a line. The reply to
//! a batch is the resulting actions, one a line, and `end`. This module owns the gateways of the process and
//! checks the order of messages within a batch. The modules below it parse messages and write actions.

mod action;
mod event;
mod message;

use action::write_action;
use edge_gateway::{Action, EndpointUpdate, Gateway, Millis, SettingsDocument};
use event::{parse_endpoint_update, parse_event, EndpointLists};
use message::{excerpt, FieldError, Message, MessageError};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::sync::Arc;

/// Why the adapter stops before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A line is not valid where it stands.
    #[error("line {line}: {error}")]
    Message {
        /// Number of the line in the input, from 1.
        line: u64,
        /// What is wrong with the line.
        error: MessageError,
    },
    /// The input cannot be read or is not UTF-8.
    #[error("cannot read line {line} of the input: {source}")]
    Read {
        /// Number of the line, from 1.
        line: u64,
        /// The error of the system, or the one for invalid UTF-8.
        source: io::Error,
    },
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Write(io::Error),
}

/// Why handling a message failed; the number of its line is not known yet.
#[derive(Debug, thiserror::Error)]
enum HandlingError {
    /// The message is invalid where it stands.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The reply cannot be written.
    #[error(transparent)]
    Write(#[from] io::Error),
}

impl HandlingError {
    fn at_line(self, line: u64) -> WireError {
        match self {
            HandlingError::Message(error) => WireError::Message { line, error },
            HandlingError::Write(error) => WireError::Write(error),
        }
    }
}

/// The gateways of this process by node number, and the endpoint lists that messages refer to.
#[derive(Default)]
pub struct GatewayHost {
    gateways: BTreeMap<u64, Gateway>,
    endpoint_lists: EndpointLists,
    /// The actions of one event. Empty between events; its allocation is reused.
    actions: Vec<Action>,
}

/// A batch whose `end` has not been read yet.
struct Batch {
    /// The time in its `mark`, at which all its events happen.
    now: Millis,
    /// The latest list that this batch announced; `None` if it has announced none.
    pending_list: Option<PendingEndpointList>,
}

/// An endpoint list that a `ledger` message announced and `item` messages fill.
struct PendingEndpointList {
    /// Number by which later messages refer to the list.
    number: u64,
    missing_items: u64,
    endpoints: Vec<EndpointUpdate>,
}

impl Batch {
    /// Starts a batch with its first line, which must be a `mark`.
    fn start(line: &str) -> Result<Self, MessageError> {
        let mark = Message::parse(line)?;
        if mark.name != "mark" {
            return Err(MessageError::ExpectedMark(excerpt(mark.name)));
        }
        Ok(Self { now: mark.parse_f64("wallMs")?, pending_list: None })
    }

    /// Number of `item` messages that must follow before any other line.
    fn missing_items(&self) -> u64 {
        self.pending_list.as_ref().map_or(0, |list| list.missing_items)
    }
}

impl GatewayHost {
    /// Handles batches until the input ends.
    ///
    /// # Errors
    /// If a line is invalid, the input ends within a batch, or reading or writing fails.
    pub fn run(&mut self, input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
        let mut batch = None;
        let mut line_number = 0;
        for line in input.lines() {
            line_number += 1;
            let line = line.map_err(|source| WireError::Read { line: line_number, source })?;
            let handled = self.handle_line(batch, &line, &mut output);
            batch = handled.map_err(|error| error.at_line(line_number))?;
        }
        match batch {
            Some(_) => Err(WireError::Message { line: line_number, error: MessageError::UnfinishedBatch }),
            None => Ok(()),
        }
    }

    /// Handles one line and returns the batch that is still open after it, if any.
    fn handle_line(
        &mut self,
        batch: Option<Batch>,
        line: &str,
        output: &mut impl Write,
    ) -> Result<Option<Batch>, HandlingError> {
        let Some(mut batch) = batch else { return Ok(Some(Batch::start(line)?)) };
        let missing_items = batch.missing_items();
        if missing_items > 0 && !line.starts_with("item ") {
            return Err(MessageError::MissingItems { missing: missing_items, found: excerpt(line) }.into());
        }
        if line == "end" {
            output.write_all(b"end\n")?;
            output.flush()?;
            return Ok(None);
        }
        self.handle_message(&mut batch, &Message::parse(line)?, output)?;
        Ok(Some(batch))
    }

    fn handle_message(
        &mut self,
        batch: &mut Batch,
        message: &Message<'_>,
        output: &mut impl Write,
    ) -> Result<(), HandlingError> {
        match message.name {
            "ledger" => self.start_endpoint_list(batch, message)?,
            "item" => self.add_endpoint(batch, message)?,
            "enlist" => self.add_gateway(message)?,
            "exit" => {
                self.gateways.remove(&message.parse_u64("node")?);
            }
            _ => self.handle_event(batch.now, message, output)?,
        }
        Ok(())
    }

    fn start_endpoint_list(&mut self, batch: &mut Batch, message: &Message<'_>) -> Result<(), MessageError> {
        let (number, missing_items) = (message.parse_u64("buffer")?, message.parse_u64("rowsIn")?);
        self.endpoint_lists.insert(number, Arc::from([]));
        batch.pending_list = Some(PendingEndpointList { number, missing_items, endpoints: Vec::new() });
        Ok(())
    }

    fn add_endpoint(&mut self, batch: &mut Batch, message: &Message<'_>) -> Result<(), MessageError> {
        let list = batch.pending_list.as_mut().filter(|list| list.missing_items > 0);
        let list = list.ok_or(MessageError::UnexpectedItem)?;
        list.endpoints.push(parse_endpoint_update(message)?);
        list.missing_items -= 1;
        if list.missing_items == 0 {
            self.endpoint_lists.insert(list.number, std::mem::take(&mut list.endpoints).into());
        }
        Ok(())
    }

    fn add_gateway(&mut self, message: &Message<'_>) -> Result<(), MessageError> {
        let node = message.parse_u64("node")?;
        let settings = SettingsDocument::parse(message.text("setup")?).and_then(SettingsDocument::settings);
        let settings = settings.map_err(|error| message.field_error("setup", error))?;
        let gateway = Gateway::new(settings, message.parse_u64("salt")?);
        let gateway = gateway.map_err(|error| message.field_error("setup", error))?;
        self.gateways.insert(node, gateway);
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: Millis,
        message: &Message<'_>,
        output: &mut impl Write,
    ) -> Result<(), HandlingError> {
        let node = message.parse_u64("node")?;
        let Some(event) = parse_event(message, &self.endpoint_lists)? else { return Ok(()) };
        let gateway = self.gateways.get_mut(&node);
        let gateway = gateway.ok_or_else(|| message.field_error("node", FieldError::UnknownNode(node)))?;
        gateway.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(output, node, &action)?;
        }
        Ok(())
    }
}
