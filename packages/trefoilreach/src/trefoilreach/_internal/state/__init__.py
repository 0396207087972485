"""Records of stored data, and the interfaces and implementations of the stores."""
