#ifndef VERBENALEAD_FRONT_TRACE_SUMMARY_H_
#define VERBENALEAD_FRONT_TRACE_SUMMARY_H_

#include <string>
#include <vector>

namespace verbenalead::front {

/// Summarizes the trace of a request in one line:
///
///     ran: yes, on target-3, version 6ad0..., 1 attempt, outcome completed
///     ran: no, 2 attempts, outcome refused, reason queue_full
///
/// If no line states the outcome, the summary says what is known: that a target
/// admitted the request, or nothing.
std::string SummarizeTrace(const std::vector<std::string>& lines);

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_TRACE_SUMMARY_H_
