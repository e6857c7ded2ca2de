#include "model/host_builder.h"

namespace verbenalead::model {

HostBuilder& HostBuilder::Name(std::string name) {
  m_host.m_name = std::move(name);
  return *this;
}

HostBuilder& HostBuilder::Role(HostRole role) {
  m_host.m_role = role;
  return *this;
}

HostBuilder& HostBuilder::Region(std::string region) {
  m_host.m_region = std::move(region);
  return *this;
}

HostBuilder& HostBuilder::DataCenter(std::string data_center) {
  m_host.m_data_center = std::move(data_center);
  return *this;
}

HostBuilder& HostBuilder::Pool(std::string pool) {
  m_host.m_pool = std::move(pool);
  return *this;
}

HostBuilder& HostBuilder::Peer(Endpoint peer) {
  m_host.m_peer = std::move(peer);
  return *this;
}

HostBuilder& HostBuilder::Callers(Endpoint callers) {
  m_host.m_callers = std::move(callers);
  return *this;
}

HostBuilder& HostBuilder::Leaving(bool leaving) {
  m_host.m_leaving = leaving;
  return *this;
}

}  // namespace verbenalead::model
