// Package scenario gives testscript the commands to run the system's real
// programs as separate processes on loopback addresses, to stop, kill, freeze
// and cut them off, and to wait for conditions. The scripts are under testdata.
//
// Commands:
//
//	cluster ENTRIES AGENTS [linked]   write settings and set addresses
//	start NAME [ARGS...]              start a host of the cluster
//	up NAME...                        start hosts of the cluster with their defaults
//	serving ENTRY...                  wait until a request through each is answered
//	run NAME PROGRAM ARGS...          start any program
//	load NAME ARGS...                 start a caller of every entry that is ready
//	progress NAME N                   wait until a load got N more answers
//	judge ARGS...                     judge the records of callers, targets and workers
//	shutdown NAME...                  SIGTERM all, then wait until each exits 0
//	terminate NAME...                 SIGTERM, without a wait
//	finish NAME...                    wait until each exits 0
//	crash | freeze | thaw NAME...     SIGKILL, SIGSTOP, SIGCONT; for judge, the times for
//	                                  which entries were frozen are recorded
//	ready NAME...                     wait until each is ready
//	waitfor REGEXP PROGRAM ARGS...    run until it exits 0 and prints a match
//	capture VAR REGEXP PROGRAM ...    the same, and set VAR to the pattern's first group
//	waitlog NAME REGEXP               wait until a process has logged a match
//	cut | heal | drop LINK...         change links; a host's name stands for all its links
//	put URL BODY                      HTTP PUT
//
// $PID_NAME is a process's id. A wait that outlasts its bound fails the script and prints the processes' logs.
package scenario
