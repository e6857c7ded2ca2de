#ifndef VERBENALEAD_LINKS_ENTRY_SUMMARY_H_
#define VERBENALEAD_LINKS_ENTRY_SUMMARY_H_

#include <string>

#include "base/endpoint.h"

namespace verbenalead::links {

/// One entry in the summary of its data centre.
struct EntrySummary {
  std::string m_host;
  Endpoint m_callers;
  Endpoint m_peers;
  /// It takes calls.
  bool m_ready = false;

  friend bool operator==(const EntrySummary&, const EntrySummary&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_ENTRY_SUMMARY_H_
