//! Addresses of processes, and the processes that a registry expects to run.

use std::net::{Ipv4Addr, SocketAddrV4};

use pinerelay_node_runtime::internal_port;

use crate::message::{ProcessList, Role};

/// The role and machine of a process, which determine its socket address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessAddress {
    /// Its program.
    pub role: Role,
    /// The address of its machine.
    pub ip: Ipv4Addr,
}

impl ProcessAddress {
    /// The address of the process with this role on a machine.
    pub const fn new(role: Role, ip: Ipv4Addr) -> ProcessAddress {
        ProcessAddress { role, ip }
    }

    /// The address on which it accepts links. `first_port` is the first internal port of its machine.
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
    /// Its address.
    pub address: ProcessAddress,
    /// The name of its machine; `None` if it was inferred from the voters.
    pub node: Option<&'a String>,
}

impl ProcessList {
    /// The processes that a registry expects to run: those that are linked to it, except observers, and the registry and the
    /// configuration store on each voting machine, whether linked or not.
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
