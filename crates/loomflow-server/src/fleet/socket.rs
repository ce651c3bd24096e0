//! The operators' socket: a Unix socket that only its owner may use. One command a connection: a line in, a line out.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use loomflow_fleet::member::RequestId;
use loomflow_fleet::operator::{Hear, LONGEST_LINE, Say};
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};

use super::OPERATORS;

/// Commands at once; the next are not heard until one ends.
const MOST: usize = 64;

struct One {
    stream: UnixStream,
    line: Vec<u8>,
    /// What is still to be written; the connection ends after it.
    answer: Option<Vec<u8>>,
    waits: Option<RequestId>,
}

pub struct Operators {
    listener: UnixListener,
    path: PathBuf,
    next: usize,
    open: BTreeMap<Token, One>,
}

impl Operators {
    /// Errors: another server listens there, or it cannot be made.
    pub fn listen(path: &Path, registry: &Registry) -> io::Result<Operators> {
        if std::os::unix::net::UnixStream::connect(path).is_ok() {
            return Err(io::Error::new(ErrorKind::AddrInUse, "another server listens there"));
        }
        // What a process that died left behind.
        let _ = std::fs::remove_file(path);
        if let Some(folder) = path.parent() {
            std::fs::create_dir_all(folder)?;
        }
        let mut listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        registry.register(&mut listener, OPERATORS, Interest::READABLE)?;
        Ok(Operators { listener, path: path.to_owned(), next: super::FIRST_LINK, open: BTreeMap::new() })
    }

    pub fn is_one(&self, token: Token) -> bool {
        self.open.contains_key(&token)
    }

    pub fn accept(&mut self, registry: &Registry) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            if self.open.len() >= MOST {
                continue;
            }
            self.next += 1;
            // Odd ones: even ones are the links'.
            let token = Token(self.next * 2 + 1);
            if registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_ok() {
                self.open.insert(token, One { stream, line: Vec::new(), answer: None, waits: None });
            }
        }
    }

    /// Reads and writes what can be. Gives the command of a line that is whole, or what is wrong with it.
    pub fn ready(&mut self, token: Token) -> Option<(Token, Result<Say, String>)> {
        let one = self.open.get_mut(&token)?;
        let mut bytes = [0; 4096];
        let over = loop {
            match one.stream.read(&mut bytes) {
                Ok(0) => break one.answer.is_none(),
                Ok(count) if one.line.len() + count > LONGEST_LINE => {
                    one.line.clear();
                    return Some((token, Err("the line is too long".into())));
                }
                Ok(count) => one.line.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break true,
            }
        };
        if over && one.line.is_empty() {
            self.open.remove(&token);
            return None;
        }
        if one.answer.is_some() {
            self.write(token);
            return None;
        }
        let end = one.line.iter().position(|byte| *byte == b'\n')?;
        let line: Vec<u8> = one.line.drain(..=end).collect();
        Some((token, serde_json::from_slice(&line).map_err(|e| format!("not a command: {e}"))))
    }

    /// The answer to this one comes with that request's.
    pub fn waits(&mut self, token: Token, id: RequestId) {
        if let Some(one) = self.open.get_mut(&token) {
            one.waits = Some(id);
        }
    }

    pub fn answered(&mut self, id: RequestId, hear: &Hear) {
        let token = self.open.iter().find(|(_, one)| one.waits == Some(id)).map(|(token, _)| *token);
        if let Some(token) = token {
            self.answer(token, hear);
        }
    }

    pub fn answer(&mut self, token: Token, hear: &Hear) {
        if let Some(one) = self.open.get_mut(&token) {
            let mut bytes = serde_json::to_vec(hear).unwrap_or_default();
            bytes.push(b'\n');
            one.answer = Some(bytes);
            self.write(token);
        }
    }

    fn write(&mut self, token: Token) {
        let Some(one) = self.open.get_mut(&token) else { return };
        let Some(answer) = &mut one.answer else { return };
        loop {
            match one.stream.write(answer) {
                Ok(count) => {
                    answer.drain(..count);
                    if answer.is_empty() {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.open.remove(&token);
    }
}

impl Drop for Operators {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
