"""Sockets, HTTP and thrift connections."""
