#ifndef VERBENALEAD_MODEL_SERVICE_SHARE_H_
#define VERBENALEAD_MODEL_SERVICE_SHARE_H_

#include <cstdint>
#include <string>

namespace verbenalead::model {

/// A service and its relative share of a route's calls.
struct ServiceShare {
  std::string m_service;
  uint32_t m_weight = 1;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_SERVICE_SHARE_H_
