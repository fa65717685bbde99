"""Ways from this entry VM to the backend servers: direct ones, and those through other VMs."""
