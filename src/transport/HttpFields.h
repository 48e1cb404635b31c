#ifndef CORNELRUDDER_TRANSPORT_HTTP_FIELDS_H
#define CORNELRUDDER_TRANSPORT_HTTP_FIELDS_H

#include "cornelrudder/protocol/HttpMessage.h"

#include <boost/beast/http/fields.hpp>

namespace cornelrudder::transport {

/** @return The fields by lower-case name; the first of equal names counts. */
protocol::HttpHeaders
ReadHeaders(const boost::beast::http::fields& aFields);

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_HTTP_FIELDS_H
