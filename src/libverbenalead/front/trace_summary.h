#ifndef VERBENALEAD_FRONT_TRACE_SUMMARY_H_
#define VERBENALEAD_FRONT_TRACE_SUMMARY_H_

#include <string>
#include <vector>

namespace verbenalead::front {

/// What became of a request, in one line, out of the lines of its trace:
///
///     ran: yes, on target-3, version 6ad0..., 1 attempt, outcome completed
///     ran: no, 2 attempts, outcome refused, reason queue_full
///
/// Where no line tells the outcome, says what is known: that a target let it
/// in, or nothing.
std::string SummarizeTrace(const std::vector<std::string>& lines);

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_TRACE_SUMMARY_H_
