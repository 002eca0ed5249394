"""The runtime of a process: links, gossip, configuration, rollouts, metrics, logs."""
