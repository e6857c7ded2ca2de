#ifndef VERBENALEAD_ENTRY_CALL_SERVICES_H_
#define VERBENALEAD_ENTRY_CALL_SERVICES_H_

#include "entry/entry_state.h"
#include "entry/slot_allocator.h"
#include "wire/client.h"

namespace verbenalead::entry {

/// References to the objects that all calls of an entry share. The objects
/// outlive the calls.
struct CallServices {
  EntryState& m_state;
  SlotAllocator& m_slot_allocator;
  /// HTTP client for requests to replicas.
  wire::Client& m_replicas;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_SERVICES_H_
