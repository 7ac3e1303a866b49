//go:build review3

package main

// model is one in the configuration of an engine service.
func model(name string, weightsMb, loadTimeS float64) map[string]any {
	return map[string]any{"name": name, "weightsMb": weightsMb, "loadTimeS": loadTimeS, "adapters": 28, "adapterMb": 66.0, "warmS": 0.6, "diskS": 1.3}
}

// engineService is a service of engines.
func engineService(name string, models ...map[string]any) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 16, "kvCapacity": 156371, "kvTokenBytes": 327680.0, "linkMbps": 740000.0, "moves": true,
			"backups": true, "stride": 3, "cap": 12, "hostMb": 140000.0, "diskMb": 410000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
			"models": models, "weightsMb": 200000.0, "adapterSlots": 8, "loadsPerS": 1.4}}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}
}

func streamingRoute(name, prefix, service string) map[string]any {
	return map[string]any{"name": name, "host": host, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 500,
		"priority": 1, "service": service, "maxAttempts": 1, "sticky": true, "resumable": false, "gapTargetMs": 250}
}

func plainRoute(name, prefix, kind, service string) map[string]any {
	return map[string]any{"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 300,
		"priority": 2, "service": service, "maxAttempts": 2, "sticky": false, "resumable": false}
}

func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}
