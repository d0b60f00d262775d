"""The backend servers' side: connections and health probes."""
