"""Code generated from peer.thrift and fleet.thrift."""
