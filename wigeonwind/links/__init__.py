"""Links between processes: messages, CBOR codec and WebSocket transport."""
