#ifndef VERBENALEAD_LINKS_ENTRY_SUMMARY_H_
#define VERBENALEAD_LINKS_ENTRY_SUMMARY_H_

#include <string>

#include "base/endpoint.h"

namespace verbenalead::links {

/// State of one entry in the summary of its data centre.
struct EntrySummary {
  std::string m_host;
  Endpoint m_callers;
  Endpoint m_peers;
  /// The entry accepts calls.
  bool m_ready = false;

  friend bool operator==(const EntrySummary&, const EntrySummary&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_ENTRY_SUMMARY_H_
