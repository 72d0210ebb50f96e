// Package crashloop decides whether a task crashes the workers that run it.
//
// When a worker crashes, it is not possible to see which of its runs caused the crash. A History
// collects the crashes under one task. Three kinds of evidence count for the task:
//
//   - A run that worked for longer than an earlier run had when its worker crashed shows that the
//     task did not cause that earlier crash.
//   - Workers that crash at the same moment without a run in common have a common cause, such as a
//     power failure.
//   - A crash that another task explains, which has failed its job by the crash limit, does not count.
//
// All crashes that remain count against the task. After two of them its starts are limited.
package crashloop
