//! What is between routers: a proxy before each, on TCP and UDP, by which routers are cut off from each other.

use std::{
    cell::RefCell,
    collections::HashMap,
    fs,
    net::SocketAddr,
    rc::Rc, //
};

use rustix::process::{
    Pid,
    PidfdFlags,
    PidfdGetfdFlags,
    pidfd_getfd,
    pidfd_open, //
};
use tokio::{
    io::copy_bidirectional,
    net::{
        TcpListener,
        TcpSocket,
        TcpStream,
        UdpSocket, //
    },
    sync::watch,
    task::spawn_local,
};
use toucanturn_standin::link::hold;

use crate::errors::Result;

/// Largest datagram.
const MAX_DATAGRAM: usize = 65_536;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Routers that nothing passes between, sender first.
type Cuts = Vec<(usize, usize)>;

/// `PeerLinks` is all proxies between routers.
pub struct PeerLinks {
    /// Pairs that are cut now; two faults may cut the same pair.
    cuts: watch::Sender<Cuts>,
    /// Which router listens where.
    routers: RefCell<HashMap<SocketAddr, usize>>,
    /// Processes of the routers.
    processes: RefCell<HashMap<u32, usize>>,
    /// Sockets that keep the proxies' ports.
    holders: RefCell<Vec<TcpSocket>>,
}

impl PeerLinks {
    /// Makes it without a proxy.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            cuts: watch::Sender::new(Vec::new()),
            routers: RefCell::default(),
            processes: RefCell::default(),
            holders: RefCell::default(),
        })
    }

    /// Opens the proxy before a router that listens at `peers`; gives the address that its peers use.
    ///
    /// # Errors
    ///
    /// No port is free on both TCP and UDP.
    pub async fn open(self: &Rc<Self>, router: usize, peers: SocketAddr) -> Result<SocketAddr> {
        let (address, holder) = hold()?;
        let datagrams = UdpSocket::bind(address).await?;
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        self.holders.borrow_mut().push(holder);
        self.routers.borrow_mut().insert(peers, router);
        spawn_local(Rc::clone(self).forward(router, peers, datagrams));
        spawn_local(Rc::clone(self).accept(router, peers, listener));
        Ok(address)
    }

    /// Notes the process of a router.
    pub fn started(&self, router: usize, process: u32) {
        let mut processes = self.processes.borrow_mut();
        processes.retain(|_, n| *n != router);
        processes.insert(process, router);
    }

    /// Cuts some routers off from all others, both ways.
    pub fn cut(&self, group: &[usize], routers: usize) {
        self.cuts
            .send_modify(|cuts| cuts.extend(pairs(group, routers)));
    }

    /// Undoes one such cut. Connections that it met are reset, as what they lost is gone.
    pub fn heal(&self, group: &[usize], routers: usize) {
        self.cuts.send_modify(|cuts| {
            for pair in pairs(group, routers) {
                if let Some(place) = cuts.iter().position(|p| *p == pair) {
                    cuts.swap_remove(place);
                }
            }
        });
    }

    async fn forward(self: Rc<Self>, to: usize, peers: SocketAddr, datagrams: UdpSocket) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            // An error is what an earlier datagram met: nobody listened.
            let Ok((length, source)) = datagrams.recv_from(&mut buffer).await else {
                continue;
            };
            let from = self.routers.borrow().get(&source).copied();
            if from.is_none_or(|from| !self.cuts.borrow().contains(&(from, to))) {
                let _ = datagrams.send_to(&buffer[..length], peers).await;
            }
        }
    }

    async fn accept(self: Rc<Self>, to: usize, peers: SocketAddr, listener: TcpListener) {
        loop {
            if let Ok((near, source)) = listener.accept().await {
                spawn_local(Rc::clone(&self).relay(near, source, to, peers));
            }
        }
    }

    /// Passes a connection on until a cut meets it. It is silent then, and is reset when the cut is over.
    async fn relay(
        self: Rc<Self>,
        mut near: TcpStream,
        source: SocketAddr,
        to: usize,
        peers: SocketAddr,
    ) {
        let _ = near.set_nodelay(true);
        let mut cuts = self.cuts.subscribe();
        // Who has made it is looked up while something is cut alone, as that takes a while.
        let mut sender = None;
        let mut is_cut = |cuts: &Cuts| {
            let apart = |from: usize| cuts.contains(&(from, to)) || cuts.contains(&(to, from));
            let near_end = cuts.iter().any(|(from, _)| *from == to);
            near_end && {
                sender = sender.or_else(|| self.sender(source));
                sender.is_none_or(apart)
            }
        };
        let cut_now = is_cut(&cuts.borrow());
        if !cut_now {
            let Ok(mut far) = TcpStream::connect(peers).await else {
                let _ = near.set_zero_linger();
                return;
            };
            let _ = far.set_nodelay(true);
            tokio::select! {
                _ = copy_bidirectional(&mut near, &mut far) => return,
                _ = cuts.wait_for(&mut is_cut) => {}
            }
            let _ = far.set_zero_linger();
            let _ = cuts.wait_for(|cuts| !is_cut(cuts)).await;
        } else {
            let _ = cuts.wait_for(|cuts| !is_cut(cuts)).await;
        }
        let _ = near.set_zero_linger();
    }

    /// Gets the router that has made a connection.
    fn sender(&self, source: SocketAddr) -> Option<usize> {
        let processes = self.processes.borrow();
        let found = processes.iter().find(|(id, _)| holds(**id, source));
        found.map(|(_, router)| *router)
    }
}

/// Tells whether a process holds the socket at an address. The kernel's table of connections would tell, too, but has those
/// of the whole machine.
fn holds(process: u32, address: SocketAddr) -> bool {
    let pid = i32::try_from(process).ok().and_then(Pid::from_raw);
    let Some(opened) = pid.and_then(|pid| pidfd_open(pid, PidfdFlags::empty()).ok()) else {
        return false;
    };
    let local_address = |entry: fs::DirEntry| {
        let number = entry.file_name().to_str()?.parse().ok()?;
        let file = pidfd_getfd(&opened, number, PidfdGetfdFlags::empty()).ok()?;
        std::net::TcpStream::from(file).local_addr().ok()
    };
    let files = fs::read_dir(format!("/proc/{process}/fd"));
    let mut files = files.into_iter().flatten().flatten();
    files.any(|entry| local_address(entry) == Some(address))
}

/// Gets all pairs of a router in the group and one outside.
fn pairs(group: &[usize], routers: usize) -> Cuts {
    let others = (0..routers).filter(|n| !group.contains(n));
    others
        .flat_map(|other| group.iter().flat_map(move |n| [(*n, other), (other, *n)]))
        .collect()
}
