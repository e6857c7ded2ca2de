#ifndef VERBENALEAD_LINKS_DRAW_NEWS_H_
#define VERBENALEAD_LINKS_DRAW_NEWS_H_

#include <cstdint>
#include <string>

#include "decide/draw_report.h"

namespace verbenalead::links {

/// What a target process tells all others of its service: its draws from the
/// origin.
struct DrawNews {
  std::string m_model;
  uint64_t m_version = 0;
  decide::DrawReport m_report;

  friend bool operator==(const DrawNews&, const DrawNews&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_DRAW_NEWS_H_
