"""The runtime of a process: links, members, text, roller, metrics and logs."""
