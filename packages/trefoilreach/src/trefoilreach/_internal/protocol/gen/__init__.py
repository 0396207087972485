"""Code generated from peer.thrift."""
