package operator

import "reflect"

// RestartRequired returns the keys or tables that differ in a reloaded file and that take effect only after a restart.
func (f *File) RestartRequired(reloaded File) (keys []string) {
	differences := []struct {
		differs bool
		key     string
	}{
		{f.Connections.MaxConnections != reloaded.Connections.MaxConnections, "connections.places"},
		{f.Connections.SocketBufferBytes != reloaded.Connections.SocketBufferBytes, "connections.socket_buffer_bytes"},
		{f.HealthChecks.PerRequest != reloaded.HealthChecks.PerRequest, "probes.per_request"},
		{f.HealthChecks.PerEndpointRate != reloaded.HealthChecks.PerEndpointRate, "probes.per_server_per_second"},
		{f.Snapshot != reloaded.Snapshot, "snapshot"},
		{f.Drain.MaxDuration != reloaded.Drain.MaxDuration, "drain.longest"},
		{!reflect.DeepEqual(f.Peers, reloaded.Peers), "peers"},
		{f.Overload != reloaded.Overload, "overload"},
	}
	for _, difference := range differences {
		if difference.differs {
			keys = append(keys, difference.key)
		}
	}
	return keys
}
