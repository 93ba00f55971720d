//! A client's connection to a node.

use super::http::{read_message, HttpMessage};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// A client with one connection to a node.
pub struct Client {
    pub stream: BufReader<TcpStream>,
}

impl Client {
    /// Returns the client's own address.
    pub fn address(&self) -> SocketAddr {
        self.stream.get_ref().local_addr().expect("failed to get the local address")
    }

    /// Writes bytes. Errors are ignored, because the node may have closed the connection.
    pub fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.get_mut().write_all(bytes);
    }

    /// Closes the sending direction of the connection.
    pub fn finish_sending(&self) {
        self.stream.get_ref().shutdown(Shutdown::Write).expect("failed to shut down the sending direction");
    }

    /// Reads a response. Returns `None` if the connection ends before the response is complete.
    pub fn read_response(&mut self) -> Option<HttpMessage> {
        read_message(&mut self.stream)
    }

    /// Sends a request and waits for its response.
    pub fn send(&mut self, request: &str) -> HttpMessage {
        self.write(request.as_bytes());
        self.read_response().unwrap_or_else(|| panic!("no response to {request}"))
    }
}
