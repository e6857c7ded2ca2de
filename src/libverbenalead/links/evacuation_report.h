#ifndef VERBENALEAD_LINKS_EVACUATION_REPORT_H_
#define VERBENALEAD_LINKS_EVACUATION_REPORT_H_

#include <string>

#include "model/revision.h"

namespace verbenalead::links {

/// What an entry knows of the evacuation of a data centre, for other entries.
struct EvacuationReport {
  std::string m_data_center;
  /// Revision of the row, or of its removal.
  model::Revision m_revision;
  bool m_active = false;

  friend bool operator==(const EvacuationReport&,
                         const EvacuationReport&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_EVACUATION_REPORT_H_
