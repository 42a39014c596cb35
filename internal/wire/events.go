package wire

import (
	"github.com/valyala/fastjson"

	"ryeweir/logic"
)

// event decodes an event. fields are the names of the values in load reports of the instance.
func (d *Decoder) event(kind string, v *fastjson.Value, fields []string) logic.Event {
	switch kind {
	case "Members":
		return d.endpointList(v)
	case "Inbound":
		return logic.Request{ID: d.str(v, "Tid"), Class: d.int(v, "Category"), Tenant: d.int(v, "Billing"),
			Key: d.str(v, "Resource"), Deadline: d.duration(v, "ExpiresNs")}
	case "Answer":
		return logic.Outcome{Request: d.str(v, "Tid"), Attempt: d.int(v, "RoundNo"), Endpoint: d.id(v, "Backend"),
			Result: d.result(v), Latency: d.duration(v, "LagNs"), Closed: d.flag(v, "Last"), LoadReport: d.loadReport(v, fields)}
	case "Established":
		return logic.ResponseStarted{Request: d.str(v, "Tid")}
	case "Dropped":
		return logic.ClientDisconnected{Request: d.str(v, "Tid")}
	case "Health":
		return logic.HealthChecked{Endpoint: d.id(v, "Backend"), Result: d.result(v), Latency: d.duration(v, "LagNs"),
			LoadReport: d.loadReport(v, fields)}
	case "TimeoutFired":
		return logic.TimerFired{Token: d.uint(v, "Handle")}
	}
	d.fail("unknown type %q", kind)
	return nil
}

// endpointList decodes a full snapshot or an update of the endpoint list. It refers to the endpoints by the number of an earlier list.
func (d *Decoder) endpointList(v *fastjson.Value) logic.Event {
	form := string(d.bytes(v, "Form"))
	switch form {
	case "unavailable":
		return logic.DiscoveryUnavailable{}
	case "update", "replace", "restored":
	default:
		d.fail("unknown Form %q", form)
	}
	number := d.int(v, "Buffer")
	if number < 0 || number >= maxLists || d.lists[number] == nil {
		d.fail("unknown list number %d", number)
		return nil
	}
	return logic.EndpointList{Full: form != "update", Endpoints: d.lists[number]}
}

// storeList decodes a numbered endpoint list and stores it. It always allocates a new slice, because events that were decoded earlier may
// still refer to the previous list with this number.
func (d *Decoder) storeList(v *fastjson.Value) {
	number := d.int(v, "Buffer")
	if number < 0 || number >= maxLists {
		d.fail("list number %d is not from 0 to %d", number, maxLists-1)
		return
	}
	endpoints := []logic.Endpoint{}
	for _, row := range d.array(v, "RowsIn") {
		endpoints = append(endpoints, logic.Endpoint{
			ID:        d.id(row, "Backend"),
			Zone:      d.int(row, "RegionPart"),
			Cell:      d.int(row, "Pack"),
			Weight:    d.float(row, "Units"),
			StartedAt: d.duration(row, "CameUpNs"),
			State:     d.endpointState(row),
		})
	}
	d.lists[number] = endpoints
}

// endpointState decodes the state of an endpoint.
func (d *Decoder) endpointState(row *fastjson.Value) logic.EndpointState {
	switch mode := string(d.bytes(row, "Mode")); mode {
	case "ready":
		return logic.Ready
	case "draining":
		return logic.Draining
	case "gone":
		return logic.Removed
	default:
		d.fail("unknown Mode %q", mode)
		return logic.Ready
	}
}

// result decodes the result of an attempt or a health check.
func (d *Decoder) result(v *fastjson.Value) logic.Result {
	switch code := d.int(v, "Result"); code {
	case 10:
		return logic.OK
	case 20:
		return logic.Failed
	case 30:
		return logic.Rejected
	case 40:
		return logic.TimedOut
	case 50:
		return logic.ConnectFailed
	case 60:
		return logic.Reset
	case 70:
		return logic.Cancelled
	case 80:
		return logic.NotSent
	default:
		d.fail("unknown Result %d", code)
		return logic.OK
	}
}

// loadReport decodes the values of a load report, whose names are in fields.
func (d *Decoder) loadReport(v *fastjson.Value, fields []string) logic.LoadReport {
	report := logic.NoLoadReport
	for i, element := range d.array(v, "Usage") {
		value, err := element.Float64()
		if err != nil {
			d.fail("Usage: %v", err)
		}
		if i >= len(fields) {
			break
		}
		SetLoadReportField(&report, fields[i], value)
	}
	return report
}

// SetLoadReportField sets the value that has this name in the settings. Names that the balancer does not use are ignored.
func SetLoadReportField(report *logic.LoadReport, name string, value float64) {
	switch name {
	case "util":
		report.Utilization = value
	case "qps":
		report.RequestRate = value
	}
}
