package wire

import (
	"github.com/valyala/fastjson"

	"ryeweir/logic"
)

// event decodes an event of an instance whose load reports have these fields.
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
	d.fault("unknown type %q", kind)
	return nil
}

// endpointList decodes a full snapshot or a change of the endpoint list. The endpoints are those of a numbered list that came before.
func (d *Decoder) endpointList(v *fastjson.Value) logic.Event {
	form := string(d.bytes(v, "Form"))
	switch form {
	case "unavailable":
		return logic.DiscoveryUnavailable{}
	case "update", "replace", "restored":
	default:
		d.fault("unknown Form %q", form)
	}
	number := d.int(v, "Buffer")
	if number < 0 || number >= maxLists || d.lists[number] == nil {
		d.fault("unknown list number %d", number)
		return nil
	}
	return logic.EndpointList{Full: form != "update", Endpoints: d.lists[number]}
}

// endpointRows keeps a numbered list. Each gets rows of its own: events decoded before may still refer to the rows that had the
// number.
func (d *Decoder) endpointRows(v *fastjson.Value) {
	number := d.int(v, "Buffer")
	if number < 0 || number >= maxLists {
		d.fault("list number %d is not from 0 to %d", number, maxLists-1)
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

// endpointState decodes what the list says of an endpoint.
func (d *Decoder) endpointState(row *fastjson.Value) logic.EndpointState {
	switch mode := string(d.bytes(row, "Mode")); mode {
	case "ready":
		return logic.Ready
	case "draining":
		return logic.Draining
	case "gone":
		return logic.Removed
	default:
		d.fault("unknown Mode %q", mode)
		return logic.Ready
	}
}

// result decodes how an attempt or a health check ended.
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
		d.fault("unknown Result %d", code)
		return logic.OK
	}
}

// loadReport decodes the figures of a load report, whose names are in fields.
func (d *Decoder) loadReport(v *fastjson.Value, fields []string) logic.LoadReport {
	report := logic.NoLoadReport
	for i, element := range d.array(v, "Usage") {
		figure, err := element.Float64()
		if err != nil {
			d.fault("Usage: %v", err)
		}
		if i >= len(fields) {
			break
		}
		SetLoadReportField(&report, fields[i], figure)
	}
	return report
}

// SetLoadReportField sets the figure of a load report that has this name in the settings. The module has no use for others.
func SetLoadReportField(report *logic.LoadReport, name string, value float64) {
	switch name {
	case "util":
		report.Utilization = value
	case "qps":
		report.RequestRate = value
	}
}
