package baseline

import "valeshift/balancer"

// The methods below belong to features that baselines do not have: polls, load reports, outlier detection,
// recovery, reservations and decisions on zones. They change nothing and return fixed values.

// PollFinished does nothing.
func (p *Policy) PollFinished(float64, uint32, bool, []float64) {}

// PollNotSent does nothing.
func (p *Policy) PollNotSent(uint32) {}

// LoadReported does nothing.
func (p *Policy) LoadReported(float64, uint32, []float64) {}

// LoadMeasured does nothing.
func (p *Policy) LoadMeasured(*balancer.Session, float64) {}

// UnreportedLoad returns 0.
func (p *Policy) UnreportedLoad() float64 { return 0 }

// IsUnresponsive returns false.
func (p *Policy) IsUnresponsive(uint32, float64) bool { return false }

// IsReady returns true: a baseline has no estimates to wait for.
func (p *Policy) IsReady(float64) bool { return true }

// SetDraining does nothing: baselines have no slow start budget that another process could use.
func (p *Policy) SetDraining(bool) {}

// Snapshot returns an empty snapshot: baselines learn nothing.
func (p *Policy) Snapshot(now float64) balancer.Snapshot { return balancer.Snapshot{TakenAt: now} }

// Restore does nothing.
func (p *Policy) Restore(float64, *balancer.Snapshot) error { return nil }

// Estimates returns no estimates.
func (p *Policy) Estimates() balancer.Estimates { return balancer.Estimates{} }

// RestoreEstimates does nothing and reports that the estimates were not used.
func (p *Policy) RestoreEstimates(balancer.Estimates) bool { return false }

// SetRecovering does nothing.
func (p *Policy) SetRecovering(bool, float64) {}

// AssumeRetriesSpent does nothing.
func (p *Policy) AssumeRetriesSpent(float64) {}

// AssumeEndpoints does nothing.
func (p *Policy) AssumeEndpoints(float64) {}

// ShiftStartTimes does nothing.
func (p *Policy) ShiftStartTimes(float64) {}

// Pause does nothing.
func (p *Policy) Pause(float64) {}

// SetMaxReportAge does nothing.
func (p *Policy) SetMaxReportAge(float64) {}

// SetRemoteLoad does nothing.
func (p *Policy) SetRemoteLoad(float64) {}

// SetZoneWeights does nothing.
func (p *Policy) SetZoneWeights([]balancer.ZoneWeight) {}

// ZoneObservations returns no observations.
func (p *Policy) ZoneObservations(float64) ([]balancer.ZoneObservation, float64) { return nil, 0 }

// RecordEarlierAttempt does nothing.
func (p *Policy) RecordEarlierAttempt(*balancer.Session, uint32, float64) {}

// MayExecute allows every request: the policy knows no deduplication window.
func (p *Policy) MayExecute(float64, *balancer.Session) bool { return true }

// PreferBackend does nothing.
func (p *Policy) PreferBackend(*balancer.Session, uint32) {}

// DropReservation does nothing.
func (p *Policy) DropReservation(uint64) {}

// Reservations returns no reservations.
func (p *Policy) Reservations(float64) map[uint64]float64 { return nil }

// RestoreReservations does nothing.
func (p *Policy) RestoreReservations(float64, map[uint64]float64) {}
