#define BOOST_TEST_MODULE customers
#include <boost/test/unit_test.hpp>
