package config

import (
	"fmt"
	"net/netip"
)

const (
	maxNameBytes         = 64 // length limit of the name of a zone or region
	maxCopies            = 7
	defaultDiskMegabytes = 64
)

// FieldError reports a field whose value is invalid by itself or together with other fields.
type FieldError struct {
	Field   string // dotted path of the field
	Problem string // what was expected and what the file has
}

// Error returns "field: problem".
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func newFieldError(field, format string, arguments ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, arguments...)}
}

// validate checks each section, and that the sections fit together. Errors are a *FieldError.
func (f *File) validate() error {
	if err := f.Peers.validate(); err != nil {
		return err
	}
	if err := f.Coordinators.validate(&f.Peers); err != nil {
		return err
	}
	if err := f.Replication.validate(&f.Peers, &f.Disk); err != nil {
		return err
	}
	return f.Disk.validate()
}

// setDerivedDefaults sets defaults that depend on other fields.
func (f *File) setDerivedDefaults() {
	if f.Disk.Folder != "" && f.Disk.MaxMegabytes == 0 {
		f.Disk.MaxMegabytes = defaultDiskMegabytes
	}
}

func (p *Peers) validate() error {
	if p.Listen != "" {
		if err := validateAddress("peers.listen", p.Listen); err != nil {
			return err
		}
	}
	for i, seed := range p.Seeds {
		if err := validateAddress(fmt.Sprintf("peers.seeds.%d", i), seed); err != nil {
			return err
		}
	}
	if p.Listen == "" && (len(p.Seeds) > 0 || p.KeyFile != "") {
		return newFieldError("peers.listen", "address:port expected, as other relays are named, got nothing")
	}
	if p.Listen != "" && p.KeyFile == "" {
		return newFieldError("peers.key-file", "the path of a file expected, got nothing")
	}
	if err := validateName("peers.zone", p.Zone); err != nil {
		return err
	}
	return validateName("peers.region", p.Region)
}

func (c *Coordinators) validate(peers *Peers) error {
	for i, voter := range c.Voters {
		if err := validateAddress(fmt.Sprintf("council.voters.%d", i), voter); err != nil {
			return err
		}
	}
	if len(c.Voters) > 0 && (peers.Listen == "" || peers.Zone == "") {
		return newFieldError("council.voters", "peers.listen and peers.zone expected beside it, got nothing")
	}
	return nil
}

func (r *Replication) validate(peers *Peers, disk *Disk) error {
	isOdd := r.Copies%2 == 1
	if r.Copies < 0 || r.Copies > maxCopies || (r.Copies > 0 && !isOdd) {
		return newFieldError("holdings.copies", "0, 1, 3, 5 or %d expected, got %d", maxCopies, r.Copies)
	}
	if r.Copies > 0 && (peers.Listen == "" || disk.Folder == "") {
		return newFieldError("holdings.copies", "peers.listen and disk.folder expected beside it, got nothing")
	}
	return nil
}

func (d *Disk) validate() error {
	if d.MaxMegabytes < 0 {
		return newFieldError("disk.most-mb", "no less than 0 expected, got %d", d.MaxMegabytes)
	}
	return nil
}

func validateAddress(field, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return newFieldError(field, "address:port expected, got %q", address)
	}
	return nil
}

func validateName(field, name string) error {
	if len(name) > maxNameBytes {
		return newFieldError(field, "at most %d bytes expected, got %d", maxNameBytes, len(name))
	}
	return nil
}
