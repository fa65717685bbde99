"""Stand-ins of the outside systems, with a load tool, a demo and benchmarks."""
