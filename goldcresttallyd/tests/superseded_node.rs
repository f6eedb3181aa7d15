//! Guards against a superseded node whose tasks outlive it: they would keep its addresses bound, and
//! the process would end when it starts the next node.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use goldcresttally_core::{Generation, Incarnation, NodeId, Version};
use goldcresttally_membership::{Body, Header, Message, Record, Status};
use goldcresttally_wire::datagram;
use goldcresttallyd::settings::Settings;
use goldcresttallyd::{Node, NodeOptions};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::LocalSet;

/// Time within which a node handles a datagram.
const DATAGRAM_TIME: Duration = Duration::from_millis(300);

/// Returns an address of this test; concurrent runs use other networks.
fn address(host: u8, port: u16) -> SocketAddr {
    let network = (std::process::id() % 200) as u8;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 79, network, host)), port)
}

/// Returns the settings of a node whose control plane runs on the thread that serves calls.
fn settings(host: u8, seed: SocketAddr) -> Settings {
    let [control, peer, calls, operator] = [7400, 7401, 7402, 7403].map(|port| address(host, port));
    let text = format!(
        "node:\n  control: {control}\n  peer: {peer}\n  calls: {calls}\n  operator: {operator}\n  \
         domain: d\n  region: r\n  threads: 0\n  seeds: ['{seed}']\n\
         requests:\n  leave_notice_ms: 0\n"
    );
    Settings::parse(&text).unwrap()
}

/// Accepts the node's connection and reads the start of its request, which is never answered.
async fn accept_request(seed: &TcpListener) -> TcpStream {
    let (mut stream, _) = seed.accept().await.unwrap();
    stream.read_u8().await.unwrap();
    stream
}

/// Tells the node that another process of a later generation runs at its address.
async fn supersede(node: &Node, generation: Generation) {
    let own = &node.settings().node;
    let record = Record {
        id: own.control,
        peer: own.peer,
        operator: own.operator,
        domain: own.domain.clone(),
        region: own.region.clone(),
        generation,
        incarnation: Incarnation(0),
        status: Status::Alive,
        leaving: false,
        link: own.link,
        upstreams: Vec::new(),
    };
    let socket = UdpSocket::bind(address(3, 0)).await.unwrap();
    let header = Header {
        from: NodeId(socket.local_addr().unwrap()),
        generation: Generation(1),
        version: Version(0),
        refused: Version(0),
    };
    let message = Message { header, body: Body::Gossip, updates: vec![record] };
    let datagram = datagram::encode(&message).unwrap();
    socket.send_to(&datagram, own.control.0).await.unwrap();
}

#[tokio::test]
async fn requests_in_flight_do_not_keep_the_address_bound() {
    let seed = TcpListener::bind(address(2, 7400)).await.unwrap();
    let settings = settings(1, seed.local_addr().unwrap());
    let start_nodes = async {
        let mut after_generation = Generation(0);
        for _ in 0..3 {
            let options = NodeOptions { after_generation, ..NodeOptions::default() };
            let node = Node::start(settings.clone(), options).await.unwrap();
            let _unanswered = accept_request(&seed).await;
            supersede(&node, Generation(node.state().identity.generation.0 + 1000)).await;
            node.control_ended().await;
            after_generation = node.state().latest_generation();
            node.stop().await;
        }
    };
    LocalSet::new().run_until(start_nodes).await;
}

/// Guards against a record of another writer with the largest generation: the next one would wrap
/// around to 0, and the node would start again without end.
#[tokio::test]
async fn largest_generation_supersedes_a_node_once() {
    let seed = TcpListener::bind(address(4, 7400)).await.unwrap();
    let settings = settings(5, seed.local_addr().unwrap());
    let start_nodes = async {
        let node = Node::start(settings.clone(), NodeOptions::default()).await.unwrap();
        supersede(&node, Generation(u64::MAX)).await;
        node.control_ended().await;
        let after_generation = node.state().latest_generation();
        node.stop().await;
        let options = NodeOptions { after_generation, ..NodeOptions::default() };
        let node = Node::start(settings.clone(), options).await.unwrap();
        assert_eq!(node.state().identity.generation, Generation(u64::MAX));
        supersede(&node, Generation(u64::MAX)).await;
        tokio::time::sleep(DATAGRAM_TIME).await;
        assert!(!node.commands().is_closed());
        node.stop().await;
    };
    LocalSet::new().run_until(start_nodes).await;
}
