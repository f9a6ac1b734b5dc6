//! Where processes are reached, and which of them a registry knows.

use std::net::{Ipv4Addr, SocketAddrV4};

use pinerelay_node_runtime::internal_port;

use crate::message::{ProcessList, Role};

/// Where a process is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessAddress {
    /// Its program.
    pub role: Role,
    /// Its machine.
    pub ip: Ipv4Addr,
}

impl ProcessAddress {
    /// The address of a program on a machine.
    pub const fn new(role: Role, ip: Ipv4Addr) -> ProcessAddress {
        ProcessAddress { role, ip }
    }

    /// Where it listens for other processes, if the internal ports of its machine begin with this one.
    pub fn socket_address(self, first_port: u16) -> SocketAddrV4 {
        let offset = match self.role {
            Role::Registry | Role::Observer => internal_port::REGISTRY,
            Role::ConfigStore => internal_port::CONFIG_STORE,
            Role::Proxy => internal_port::PROXY,
        };
        SocketAddrV4::new(self.ip, first_port.saturating_add(offset))
    }
}

/// A process that is expected to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedProcess<'a> {
    /// Where it is reached.
    pub address: ProcessAddress,
    /// The name of its machine, if it is known.
    pub node: Option<&'a String>,
}

impl ProcessList {
    /// The processes that a registry expects to run: those that are linked to it, but for observers, and both programs of each core
    /// machine that votes, also when nobody is linked to it.
    pub fn expected_processes(&self) -> impl Iterator<Item = ExpectedProcess<'_>> {
        let linked = self.linked.iter().filter(|hello| hello.role != Role::Observer);
        let linked = linked.map(|hello| (hello.role, &hello.ip, Some(&hello.node)));
        let voters = self
            .voters
            .iter()
            .flat_map(|ip| [Role::Registry, Role::ConfigStore].map(|role| (role, ip, None)));
        linked.chain(voters).filter_map(|(role, ip, node)| {
            let address = ProcessAddress::new(role, ip.parse().ok()?);
            Some(ExpectedProcess { address, node })
        })
    }
}
