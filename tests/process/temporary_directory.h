#pragma once

#include <string>

namespace buckthornspar::process_test {

/// New directory for the files of one test. The destructor removes it unless BTS_KEEP_LOGS is set.
class temporary_directory {
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    [[nodiscard]] std::string file(const std::string& name) const { return m_path + "/" + name; }

private:
    std::string m_path;
};

} // namespace buckthornspar::process_test
