// Package scenario provides testscript commands that run the system's programs as separate
// processes on loopback addresses, stop, kill, freeze and disconnect them, and wait for
// conditions. The scripts are in testdata.
//
// Commands:
//
//	cluster ENTRIES AGENTS [linked]   write the settings files and set the address variables
//	start NAME [ARGS...]              start a host of the cluster
//	up NAME...                        start hosts of the cluster with default arguments
//	serving ENTRY...                  wait until a request through each is answered
//	run NAME PROGRAM ARGS...          start any program
//	load NAME ARGS...                 start a caller of the ready entries
//	progress NAME N                   wait until a load has received N more answers
//	judge ARGS...                     check the records of callers, targets and workers
//	shutdown NAME...                  send SIGTERM to all, then wait until each exits with 0
//	terminate NAME...                 send SIGTERM without waiting
//	finish NAME...                    wait until each exits with 0
//	crash | freeze | thaw NAME...     send SIGKILL, SIGSTOP, SIGCONT; the intervals during
//	                                  which entries are frozen are recorded for judge
//	ready NAME...                     wait until each is ready
//	waitfor REGEXP PROGRAM ARGS...    run a program until it exits with 0 and prints a match
//	capture VAR REGEXP PROGRAM ...    the same, and set VAR to the first group of the match
//	waitlog NAME REGEXP               wait until the log of a process contains a match
//	cut | heal | drop LINK...         change links; the name of a host means all its links
//	put URL BODY                      send an HTTP PUT request
//
// $PID_NAME is the id of the process NAME. A wait that exceeds its timeout fails the script
// and prints the processes' logs.
package scenario
