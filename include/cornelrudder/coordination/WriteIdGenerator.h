#ifndef CORNELRUDDER_COORDINATION_WRITE_ID_GENERATOR_H
#define CORNELRUDDER_COORDINATION_WRITE_ID_GENERATOR_H

#include <cstdint>
#include <string>

namespace cornelrudder::coordination {

/** Makes identifiers that are unique over all lives of all daemons. */
class WriteIdGenerator
{
public:
  /**
   * @param aPrefix Unique for this life of the process.
   */
  explicit WriteIdGenerator(std::string aPrefix)
    : mPrefix(std::move(aPrefix))
  {
  }

  std::string Next() { return mPrefix + "-" + std::to_string(++mCount); }

private:
  std::string mPrefix;
  std::uint64_t mCount = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_WRITE_ID_GENERATOR_H
