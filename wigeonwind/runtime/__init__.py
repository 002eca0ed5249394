"""The runtime of a process: links, members, configuration, rollouts, metrics, logs."""
