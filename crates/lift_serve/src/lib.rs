//! The agent's request side: runs requests on its backend server.
