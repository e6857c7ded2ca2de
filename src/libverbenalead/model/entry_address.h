#ifndef VERBENALEAD_MODEL_ENTRY_ADDRESS_H_
#define VERBENALEAD_MODEL_ENTRY_ADDRESS_H_

#include <string>

#include "base/endpoint.h"

namespace verbenalead::model {

/// The network addresses of one entry.
struct EntryAddress {
  std::string m_host;
  std::string m_data_center;
  /// Address for callers.
  Endpoint m_callers;
  /// Address for datagrams from the system's other processes.
  Endpoint m_peers;

  friend auto operator<=>(const EntryAddress&, const EntryAddress&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_ENTRY_ADDRESS_H_
