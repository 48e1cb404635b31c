#include "HttpFields.h"

#include <algorithm>
#include <cctype>

namespace cornelrudder::transport {

protocol::HttpHeaders
ReadHeaders(const boost::beast::http::fields& aFields)
{
  protocol::HttpHeaders headers;
  for (const auto& field : aFields) {
    std::string name(field.name_string());
    std::transform(
      name.begin(), name.end(), name.begin(), [](unsigned char aCharacter) {
        return static_cast<char>(std::tolower(aCharacter));
      });
    headers.emplace(std::move(name), std::string(field.value()));
  }
  return headers;
}

} // namespace cornelrudder::transport
