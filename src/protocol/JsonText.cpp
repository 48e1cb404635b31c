#include "JsonText.h"

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

std::string
ToText(const nlohmann::json& aValue)
{
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cornelrudder::protocol
