#!/usr/bin/env bash
# Checks that no layer includes headers that it must not depend on
# (docs/design.md, 3).
set -euo pipefail
cd "$(dirname "$0")/.."
status=0

# Reports includes in a layer's headers and sources that match a pattern.
forbid() {
  local layer=$1 pattern=$2
  if grep -rnE "^#include [<\"]($pattern)" \
    "include/cornelrudder/$layer" "src/$layer"; then
    echo "layer $layer must not include the above"
    status=1
  fi
}

forbid state 'cornelrudder/(transport|protocol|coordination)/|caf/|boost/|nng/|spdlog/|nlohmann/|cereal/|thread|mutex|ctime|sys/'
forbid coordination 'cornelrudder/(transport|protocol)/|boost/|nng/|spdlog/|nlohmann/|cereal/'
forbid protocol 'cornelrudder/transport/|caf/|boost/|nng/|spdlog/|cornelrudder/coordination/Messages'
forbid transport 'cornelrudder/(coordination|state)/|caf/|spdlog/|nlohmann/'

# Public headers must not include large libraries.
if grep -rnE '^#include <(boost/|nng/|spdlog/|nlohmann/|cereal/|caf/all.hpp)' include; then
  echo "public headers must not include the above"
  status=1
fi
# Paths and field names of the users' platform occur only in platform/ and
# deploy/.
if grep -rnE '#include "platform/' include src tools benchmark examples; then
  echo "only apps and tests may include the above"
  status=1
fi
if grep -rnE '/v1/(rows|run-|hold|readyz|blob)|acked-upto|mem-mb|until-ms|"(op|gpu|fence)"' \
  include src apps tools benchmark; then
  echo "the platform's words above belong into platform/"
  status=1
fi
exit $status
