package main

import "errors"

var (
	errNotAccepted = errors.New("a job was not accepted")
	errNotBegun    = errors.New("a job did not begin")
	errNoUpkeep    = errors.New("there was no upkeep")
)
