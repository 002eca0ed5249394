"""Links between the processes of the system: messages, codec, websocket."""
